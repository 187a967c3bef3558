"""Sends and answers queries for flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumbridge.flows import Ask
from laburnumbridge.flows import ExpiringMap
from laburnumbridge.flows import FlowInquiry
from laburnumbridge.flows.flow_inquiry import REPEATS
from laburnumbridge.flows.peer_datagrams import DatagramKind
from laburnumbridge.flows.peer_datagrams import encode_flow_answer
from laburnumbridge.flows.peer_datagrams import encode_flow_query

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Sequence

    from laburnumbridge.flows import FlowKey
    from laburnumbridge.flows import InquiryResult
    from laburnumbridge.flows.peer_datagrams import FlowAnswer
    from laburnumbridge.forwarding.endpoints import Endpoint
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess

INQUIRIES_LIMIT = 32
"""Inquiries at a time. Each usually runs for a millisecond. After a loss of power thousands of
packets of flows that nobody holds arrive at once; beyond this number they are searched along the
ranking, since answers that are late make inquiries ask again."""
ANSWERING_TTL_S = 60.0
"""An agent that answered within this time knows queries; one that was replaced by the previous
version doesn't answer any more."""
AGENTS_LIMIT = 10_000


class FlowInquiries:
    """Runs inquiries and answers those of other agents.

    ``presence`` returns what this agent knows of a flow at a time.
    """

    def __init__(
        self, *, process: ForwardingProcess, presence: Callable[[FlowKey, float], FlowAnswer]
    ) -> None:
        self._process = process
        self._presence = presence
        self._running_by_flow: dict[FlowKey, list[_RunningInquiry]] = {}
        self._answering: ExpiringMap[str, bool] = ExpiringMap(
            ttl_s=ANSWERING_TTL_S, limit=AGENTS_LIMIT
        )

    def start(
        self,
        flow: FlowKey,
        agents: Sequence[str],
        on_result: Callable[[InquiryResult], None],
        *,
        uses_records: bool = True,
        is_repeated: bool = True,
        optional: Container[str] = (),
    ) -> bool:
        """Ask ``agents`` for ``flow``; return False if too many inquiries are running.

        Those in ``optional`` may not exist.
        """
        if len(self._running_by_flow) >= INQUIRIES_LIMIT:
            return False
        inquiry = FlowInquiry(
            agents=agents,
            listed=self._process.directory.listed_agents,
            repeats=REPEATS if is_repeated else 0,
            uses_records=uses_records,
            optional=optional,
        )
        running = _RunningInquiry(inquiry=inquiry, on_result=on_result)
        self._running_by_flow.setdefault(flow, []).append(running)
        self._process.metrics.count("flow_inquiries_total")
        self._step(flow, running)
        return True

    def on_answer(self, agent: str, answer: FlowAnswer, now: float) -> None:
        """Handle the answer of ``agent``."""
        self._answering.put(agent, True, now)
        for running in list(self._running_by_flow.get(answer.flow, ())):
            running.inquiry.on_answer(agent, answer.presence, answer.agent)
            self._step(answer.flow, running)

    def answer(self, flow: FlowKey, sender: Endpoint, now: float) -> None:
        """Answer a query."""
        self._process.peers.send(encode_flow_answer(self._presence(flow, now)), sender)

    def on_load_report(self, agent: str, now: float) -> None:
        """Note that ``agent`` runs; if it hasn't answered queries, it doesn't know them."""
        if self._running_by_flow and self._answering.get(agent, now) is None:
            for flow, inquiries in list(self._running_by_flow.items()):
                for running in list(inquiries):
                    running.inquiry.on_unaware(agent)
                    self._step(flow, running)

    def note_answering(self, agent: str, now: float) -> None:
        """Note that ``agent`` is of a version that answers queries."""
        self._answering.put(agent, True, now)

    def expire(self, now: float) -> None:
        """Drop agents that haven't answered for a time."""
        self._answering.expire(now)

    def _step(self, flow: FlowKey, running: _RunningInquiry) -> None:
        while True:
            now = self._process.loop.now()
            action = running.inquiry.step(now)
            if action is None:
                self._wait(flow, running, now)
                return
            if not isinstance(action, Ask):
                self._end(flow, running, action)
                return
            self._ask(flow, running, action, now)

    def _ask(self, flow: FlowKey, running: _RunningInquiry, action: Ask, now: float) -> None:
        own_address = self._process.settings.address
        query = encode_flow_query(flow)
        for agent in action.agents:
            if agent == own_address:
                own = self._presence(flow, now)
                running.inquiry.on_answer(agent, own.presence, own.agent)
            else:
                self._process.metrics.count("flow_queries_total")
                endpoint = (agent, self._process.settings.peer_port)
                self._process.peers.send(query, endpoint)
                if self._answering.get(agent, now) is None:
                    # An agent of the previous version answers only this.
                    self._process.peers.send(bytes((DatagramKind.PROBE,)), endpoint)

    def _wait(self, flow: FlowKey, running: _RunningInquiry, now: float) -> None:
        if running.step_at > now:
            return

        def step() -> None:
            running.step_at = 0.0
            if running in self._running_by_flow.get(flow, ()):
                self._step(flow, running)

        running.step_at = running.inquiry.next_at
        self._process.loop.call_later(max(running.inquiry.next_at - now, 0.0), step)

    def _end(self, flow: FlowKey, running: _RunningInquiry, result: InquiryResult) -> None:
        remaining = self._running_by_flow[flow]
        remaining.remove(running)
        if not remaining:
            del self._running_by_flow[flow]
        running.on_result(result)


class _RunningInquiry:
    """An inquiry, whom to tell its result, and when its next step is scheduled."""

    def __init__(self, *, inquiry: FlowInquiry, on_result: Callable[[InquiryResult], None]) -> None:
        self.inquiry = inquiry
        self.on_result = on_result
        self.step_at = 0.0
