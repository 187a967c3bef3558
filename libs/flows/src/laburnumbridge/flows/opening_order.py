"""The order in which the openings that wait at one agent are served."""

from __future__ import annotations

from bisect import bisect_right
from heapq import heappop
from heapq import heappush
from itertools import accumulate
from math import inf
from operator import attrgetter
from operator import sub
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from laburnumbridge.flows.opening_queue import WaitingOpening

T = TypeVar("T")

MAX_PASSED_S = 1.0
"""A class that has waited or was refused for this long, while only higher ones were served, gets
the next start. Openings are of use for 1.2 s at most, so a longer time would starve a class."""


class _Planned(msgspec.Struct, Generic[T], eq=False):
    """An opening, and the seconds from its start to the next start at the upstream.

    ``due`` is the time at which its capacity has to be used up for an answer within the target.
    """

    waiting: WaitingOpening[T]
    interval_s: float
    priority: int
    target_by: float
    start_by: float
    due: float


class OpeningPlan(msgspec.Struct, Generic[T], frozen=True, kw_only=True):
    """The openings to serve, in order, and those that can't start in time.

    ``intervals_s`` has the seconds from each start to the next. The plan holds until the time at
    which the upstream has done the work before the first one comes after ``backlog_done_by``.
    """

    order: list[WaitingOpening[T]]
    intervals_s: list[float]
    refused: list[WaitingOpening[T]]
    backlog_done_by: float


class _Schedule(Generic[T]):
    """Openings with their expected starts; each has to start at its limit or before.

    ``_spare_s`` holds for each place by how much all openings from there may be delayed. It is made
    at the first insertion; openings appended later count by their minimum, ``_appended_spare_s``.
    """

    def __init__(self, *, first_at: float) -> None:
        self.planned: list[_Planned[T]] = []
        self.starts: list[float] = []
        self.limits: list[float] = []
        self.ends_at = first_at
        self._spare_s: list[float] | None = None
        self._appended_spare_s = inf

    def append(self, planned: _Planned[T], limit: float) -> None:
        starts_at = self.ends_at
        self.planned.append(planned)
        self.starts.append(starts_at)
        self.limits.append(limit)
        self.ends_at = starts_at + planned.interval_s
        self._appended_spare_s = min(self._appended_spare_s, limit - starts_at)

    def insert(self, planned: _Planned[T], limit: float) -> bool:
        """Insert an opening at the latest place where it starts by ``limit``.

        Return False if there is none, or if another opening would start after its own limit. An
        earlier place delays the same openings and more.
        """
        if self.ends_at <= limit:
            self.append(planned, limit)
            return True
        index = bisect_right(self.starts, limit) - 1
        if index < 0 or self._spare_from(index) < planned.interval_s:
            return False
        starts = self.starts[index:]
        self.planned.insert(index, planned)
        self.limits.insert(index, limit)
        self.starts[index:] = [starts[0], *(start + planned.interval_s for start in starts)]
        self.ends_at += planned.interval_s
        self._spare_s = None
        return True

    def _spare_from(self, index: int) -> float:
        """Return by how much all openings from ``index`` on may be delayed, in seconds."""
        if self._spare_s is None or index >= len(self._spare_s):
            slacks = map(sub, reversed(self.limits), reversed(self.starts))
            self._spare_s = list(accumulate(slacks, min))
            self._spare_s.reverse()
            self._appended_spare_s = inf
        return min(self._spare_s[index], self._appended_spare_s)


class OpeningOrder(Generic[T]):
    """Plans the starts of waiting openings by target latency, priority and expected work.

    As many openings as possible start early enough for their target latency, by the algorithm of
    Moore and Hodgson: in the order of these times, and whenever one would be late, the one of the
    lowest class leaves the set, among these the one with the most work. Those that are late anyway
    are added by class, the newest first: at the end if they can still start in time there, else
    earlier where that makes no other one late. What finds no place is refused.

    ``work_s`` returns the expected work of an opening in seconds; each start is expected when the
    work before it has run on all slots. With several slots it may come up to a request's length
    earlier, depending on when slots become free. The plan assumes that it does, so that none is
    refused for which a slot may be free.
    """

    def __init__(self, *, work_s: Callable[[WaitingOpening[T]], float]) -> None:
        self._work_s = work_s
        self._passed_since_by_priority: dict[int, float] = {}

    def on_start(self, priority: int, waiting_priorities: Iterable[int], now: float) -> None:
        """Record that an opening has been served while others waited."""
        self._passed_since_by_priority.pop(priority, None)
        for other in waiting_priorities:
            if other > priority:
                self._passed_since_by_priority.setdefault(other, now)

    def on_refusal(self, priority: int, now: float) -> None:
        """Record that an opening was refused since the capacity went to others."""
        self._passed_since_by_priority.setdefault(priority, now)

    def on_empty(self) -> None:
        """Record that no opening waits."""
        self._passed_since_by_priority.clear()

    def next_promotion(self) -> float:
        """Return when the next class has been passed for too long, infinity if none is passed."""
        since = min(self._passed_since_by_priority.values(), default=inf)
        return since + MAX_PASSED_S

    def plan(
        self, openings: Iterable[WaitingOpening[T]], now: float, *, slots: int, backlog_s: float
    ) -> OpeningPlan[T]:
        """Return the order of ``openings``, of which each is planned once or refused.

        With 0 slots the work isn't counted, and only those whose time has passed are refused.
        """
        refused = []
        startable: list[_Planned[T]] = []
        for waiting in openings:
            deadline = waiting.deadline
            if deadline.start_by < now:
                refused.append(waiting)
                continue
            interval_s = self._work_s(waiting) / slots if slots else 0.0
            due = deadline.target_by + interval_s
            startable.append(
                _Planned(
                    waiting,
                    interval_s,
                    waiting.priority,
                    deadline.target_by,
                    deadline.start_by,
                    due,
                )
            )
        longest_s = max((planned.interval_s for planned in startable), default=0.0)
        first_at = now + backlog_s - longest_s * max(slots - 1, 0)
        schedule: _Schedule[T] = _Schedule(first_at=first_at)
        promoted = self._promoted(startable, now)
        if promoted is not None:
            startable.remove(promoted)
            schedule.append(promoted, first_at)
        late = self._add_on_time(schedule, startable, now)
        late.sort(key=lambda planned: (planned.priority, -planned.waiting.deadline.since))
        for planned in late:
            is_on_time = planned.target_by >= now and schedule.insert(planned, planned.target_by)
            if not is_on_time and not schedule.insert(planned, planned.start_by):
                refused.append(planned.waiting)
        if promoted is not None:
            schedule.limits[0] = promoted.start_by
        slack_s = min(map(sub, schedule.limits, schedule.starts), default=0.0)
        return OpeningPlan(
            order=[planned.waiting for planned in schedule.planned],
            intervals_s=[planned.interval_s for planned in schedule.planned],
            refused=refused,
            backlog_done_by=now + backlog_s + slack_s,
        )

    def _promoted(self, startable: list[_Planned[T]], now: float) -> _Planned[T] | None:
        """Return the newest opening of the class that was passed for longest, if for too long."""
        passed = sorted((since, key) for key, since in self._passed_since_by_priority.items())
        for since, priority in passed:
            if now - since < MAX_PASSED_S:
                return None
            of_class = [planned for planned in startable if planned.priority == priority]
            if of_class:
                return max(of_class, key=lambda planned: planned.waiting.deadline.since)
        return None

    @staticmethod
    def _add_on_time(
        schedule: _Schedule[T], startable: list[_Planned[T]], now: float
    ) -> list[_Planned[T]]:
        """Add the openings that can start within their target to an empty or promoted schedule.

        Return the others.
        """
        others: list[_Planned[T]] = []
        candidates: list[_Planned[T]] = []
        earliest = max(now, schedule.ends_at)
        for planned in startable:
            is_late = planned.target_by < earliest
            (others if is_late else candidates).append(planned)
        candidates.sort(key=attrgetter("due"))
        is_removed = [False] * len(candidates)
        lowest_first: list[tuple[int, float, int]] = []
        ends_at = schedule.ends_at
        for index, planned in enumerate(candidates):
            starts_at = ends_at
            ends_at += planned.interval_s
            heappush(lowest_first, (-planned.priority, -planned.interval_s, index))
            while starts_at > planned.target_by and not is_removed[index]:
                removed = heappop(lowest_first)[2]
                is_removed[removed] = True
                starts_at -= candidates[removed].interval_s
                ends_at -= candidates[removed].interval_s
        for planned, was_removed in zip(candidates, is_removed, strict=True):
            if was_removed:
                others.append(planned)
            else:
                schedule.append(planned, planned.target_by)
        return others
