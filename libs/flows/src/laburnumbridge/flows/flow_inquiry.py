"""Asks agents which of them holds a flow, before a packet is delivered to any upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from laburnumbridge.flows.peer_datagrams import FlowPresence

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Sequence

FIRST_AGENTS = 3
"""Asked at first: the two directory nodes, and one more that may be a node in a newer view."""
FIRST_TIMEOUT_S = 0.02
"""Both directory nodes may be stopped; answers that come later count as well."""
AGENTS_AT_ONCE = 256
"""Queries sent at a time; with their headers they have 11 KB, and the answers 12 KB."""
ANSWER_TIMEOUT_S = 0.05
"""An agent that leaves a query unanswered for this long isn't waited for. It answers within a
millisecond unless it is stopped, or its only core is busy."""
REPEAT_INTERVAL_S = 0.25
REPEATS = 2
"""Silent agents are asked again: an agent that restarts is back after about 0.9 s, and the client
repeats its packet 0.2 and 0.6 s after the first."""


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """Query these agents now."""

    agents: tuple[str, ...]


class InquiryResult(msgspec.Struct, frozen=True, kw_only=True):
    """The end of an inquiry.

    ``holder`` is the agent that has the flow, or None; ``is_open`` is False if the flow has ended
    there. ``uncertain`` are the agents that can't tell, ``silent`` those that didn't answer, and
    ``unaware`` those that don't know queries.
    """

    holder: str | None = None
    is_open: bool = False
    uncertain: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    unaware: tuple[str, ...] = ()


class FlowInquiry:
    """One inquiry among ``agents``, in their order.

    It ends with the first agent that holds the flow, or after all have answered, or after
    ``repeats`` repetitions for those that are silent. A record counts once the agent that it names
    doesn't deny it, and names only agents in ``listed``. Agents of the previous version don't know
    queries; they aren't waited for. Those in ``optional`` may not exist: they aren't asked again,
    and don't count as silent.
    """

    def __init__(
        self,
        *,
        agents: Sequence[str],
        listed: Container[str],
        repeats: int = REPEATS,
        uses_records: bool = True,
        optional: Container[str] = (),
    ) -> None:
        self._agents = agents
        self._optional = optional
        self._listed = listed
        self._unaware: set[str] = set()
        self._repeats_left = repeats
        self._uses_records = uses_records
        self._waiting = list(agents)
        self._asked: set[str] = set()
        self._presence_by_agent: dict[str, FlowPresence] = {}
        self._is_first_wave = True
        self._repeat_at = 0.0
        self._holder: str | None = None
        self._closed_at: str | None = None
        self._named: str | None = None
        self.next_at = 0.0
        """Monotonic time of the next call of ``step``, unless an answer comes before."""

    def on_answer(self, agent: str, presence: FlowPresence, recorded_agent: str) -> None:
        """Note the answer of ``agent``; ``recorded_agent`` is where it has a record of the flow."""
        self._presence_by_agent[agent] = presence
        self._unaware.discard(agent)
        if presence is FlowPresence.OPEN:
            self._holder = agent
        elif presence is FlowPresence.CLOSED:
            self._closed_at = agent
        elif presence is FlowPresence.RECORDED and self._uses_records:
            named_presence = self._presence_by_agent.get(recorded_agent)
            if named_presence is FlowPresence.UNCERTAIN:
                self._holder = recorded_agent
            elif named_presence is None and recorded_agent in self._listed:
                self._named = recorded_agent
        if agent == self._named:
            if presence is FlowPresence.UNCERTAIN:
                self._holder = agent
            self._named = None

    def on_unaware(self, agent: str) -> None:
        """Note that ``agent`` runs, but doesn't know queries."""
        if agent in self._asked and agent not in self._presence_by_agent:
            self._unaware.add(agent)

    def step(self, now: float) -> Ask | InquiryResult | None:
        """Return what to do now, or None to wait."""
        if self._holder is not None:
            return InquiryResult(holder=self._holder, is_open=True)
        if self._named is not None and self._named not in self._asked:
            if self._named in self._waiting:
                self._waiting.remove(self._named)
            return self._ask([self._named], now)
        if self._named in self._unaware:
            return InquiryResult(holder=self._named, is_open=True)
        if now < self.next_at and self._asked - self._presence_by_agent.keys() - self._unaware:
            return None
        if self._waiting and self._named is None:
            is_first, self._is_first_wave = self._is_first_wave, False
            count = FIRST_AGENTS if is_first else AGENTS_AT_ONCE
            agents, self._waiting = self._waiting[:count], self._waiting[count:]
            return self._ask(agents, now, FIRST_TIMEOUT_S if is_first else ANSWER_TIMEOUT_S)
        known = self._presence_by_agent.keys() | self._unaware
        silent = tuple(
            agent for agent in self._agents if agent not in known and agent not in self._optional
        )
        missing = silent if self._named is None else (self._named,)
        if missing and self._repeats_left and self._closed_at is None and not self._unaware:
            return self._repeat(missing, now)
        return InquiryResult(
            holder=self._named or self._closed_at,
            is_open=self._named is not None,
            uncertain=self._answered_uncertain(),
            silent=silent,
            unaware=tuple(agent for agent in self._agents if agent in self._unaware),
        )

    def _answered_uncertain(self) -> tuple[str, ...]:
        return tuple(
            agent
            for agent in self._agents
            if self._presence_by_agent.get(agent) in (FlowPresence.UNCERTAIN, FlowPresence.RECORDED)
        )

    def _repeat(self, missing: tuple[str, ...], now: float) -> Ask | None:
        """Ask silent agents again.

        Not the uncertain ones, which are all agents after a loss of power: their queries would
        multiply with the delay of the answers.
        """
        if now < self._repeat_at:
            self.next_at = self._repeat_at
            return None
        self._repeats_left -= 1
        return self._ask(missing, now)

    def _ask(self, agents: Sequence[str], now: float, timeout_s: float = ANSWER_TIMEOUT_S) -> Ask:
        self._asked.update(agents)
        self.next_at = now + timeout_s
        self._repeat_at = now + REPEAT_INTERVAL_S
        return Ask(agents=tuple(agents))
