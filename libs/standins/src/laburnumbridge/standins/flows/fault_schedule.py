"""The seeded schedule of the faults that a soak injects."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from laburnumbridge.core import Choice
from laburnumbridge.core import hash64

MEAN_INTERVAL_S = 0.8
"""With faults of one to four seconds about three are active at any time."""
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0
REPEATED_SHARE = 0.25
"""Share of the faults that are injected three times in a row, on the same or on other targets."""
REPEAT_INTERVAL_S = 0.4
EVACUATION_MEAN_INTERVAL_S = 6.0
"""In a soak of 20 s a seed has one or two evacuations that end before it does."""
MIN_EVACUATION_S = 0.3
"""Shorter than the time in which a change reaches all processes."""
MAX_EVACUATION_S = 12.0
"""No opening may reach the domain after 5 s, so the check covers up to 7 s."""


DROP_MEAN_INTERVAL_S = 5.0
"""In a soak of 20 s a seed drops a service about three times."""
MIN_DROP_S = 0.3
MAX_DROP_S = 8.0
"""Long enough for several restarts of a process before the service is configured again."""


class FaultKind(Enum):
    """A fault that is injected from outside the processes."""

    KILL_BALANCER = "kill_balancer"
    KILL_AGENT = "kill_agent"
    TERMINATE_BALANCER = "terminate_balancer"
    TERMINATE_AGENT = "terminate_agent"
    PAUSE_BALANCER = "pause_balancer"
    PAUSE_AGENT = "pause_agent"
    CRASH_UPSTREAM = "crash_upstream"
    DRAIN_UPSTREAM = "drain_upstream"
    PLATFORM_SILENT = "platform_silent"
    PLATFORM_FORGETS = "platform_forgets"
    PLATFORM_RESTORED = "platform_restored"
    CONFIGURE = "configure"
    MOVE_ROUTE = "move_route"
    FOREIGN_ENTRY = "foreign_entry"
    RELOAD = "reload"
    PROXY_DELAY = "proxy_delay"
    PROXY_RESET = "proxy_reset"
    PROXY_SILENCE = "proxy_silence"
    PROXY_CUT_REPLIES = "proxy_cut_replies"
    EVACUATE = "evacuate"
    DROP_SERVICE = "drop_service"


@dataclass(frozen=True, kw_only=True, slots=True)
class _SeparateKind:
    """A kind that is drawn by itself, so that seeds keep their other faults.

    ``name`` makes the sequence of random numbers its own.
    """

    kind: FaultKind
    name: bytes
    mean_interval_s: float
    min_s: float
    max_s: float


_SEPARATE_KINDS = (
    _SeparateKind(
        kind=FaultKind.EVACUATE,
        name=b"evacuations",
        mean_interval_s=EVACUATION_MEAN_INTERVAL_S,
        min_s=MIN_EVACUATION_S,
        max_s=MAX_EVACUATION_S,
    ),
    _SeparateKind(
        kind=FaultKind.DROP_SERVICE,
        name=b"drops",
        mean_interval_s=DROP_MEAN_INTERVAL_S,
        min_s=MIN_DROP_S,
        max_s=MAX_DROP_S,
    ),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault, ``at`` seconds after the start of the schedule.

    ``target`` lies in [0, 1) and selects a process, an upstream, a proxy or a failure domain.
    """

    at: float
    kind: FaultKind
    target: float
    duration_s: float


def make_schedule(*, seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed, sorted by start time; all end before ``seconds``."""
    choice = Choice(seed=seed)
    separate = {one.kind for one in _SEPARATE_KINDS}
    kinds = [kind for kind in FaultKind if kind not in separate]
    faults = [
        fault
        for one in _SEPARATE_KINDS
        for fault in _make_separate(one, seed=seed, seconds=seconds)
    ]
    at = 0.0
    while True:
        at += 2 * MEAN_INTERVAL_S * choice.fraction()
        kind = kinds[choice.below(len(kinds))]
        target = choice.fraction()
        repeats = 3 if choice.fraction() < REPEATED_SHARE else 1
        for number in range(repeats):
            duration_s = MIN_DURATION_S + (MAX_DURATION_S - MIN_DURATION_S) * choice.fraction()
            starts_at = at + number * REPEAT_INTERVAL_S
            if starts_at + duration_s < seconds:
                faults.append(Fault(at=starts_at, kind=kind, target=target, duration_s=duration_s))
            target = target if choice.fraction() < 0.5 else choice.fraction()
        if at >= seconds:
            return sorted(faults, key=lambda fault: fault.at)


def _make_separate(separate: _SeparateKind, *, seed: int, seconds: float) -> list[Fault]:
    """Return the faults of one kind; the other faults of the seed don't depend on them."""
    choice = Choice(seed=hash64(b"%s %d" % (separate.name, seed)))
    faults: list[Fault] = []
    at = 0.0
    while True:
        at += 2 * separate.mean_interval_s * choice.fraction()
        if at >= seconds:
            return faults
        duration_s = separate.min_s + (separate.max_s - separate.min_s) * choice.fraction()
        target = choice.fraction()
        if at + duration_s < seconds:
            faults.append(Fault(at=at, kind=separate.kind, target=target, duration_s=duration_s))
