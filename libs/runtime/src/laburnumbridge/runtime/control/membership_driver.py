"""Runs the failure detector of one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from laburnumbridge import membership as mem
from laburnumbridge.core import FailureDomain
from laburnumbridge.core import ProcessId
from laburnumbridge.core import ServiceName
from laburnumbridge.core import hash64
from laburnumbridge.runtime.control.message_kinds import MessageKind
from laburnumbridge.runtime.control.timer import PeriodicTimer
from laburnumbridge.telemetry import Decision
from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import SubjectKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.core import Incarnation
    from laburnumbridge.lists import Vm
    from laburnumbridge.lists import VmList
    from laburnumbridge.runtime.control.control_link import ControlLink
    from laburnumbridge.telemetry import DecisionRing
    from laburnumbridge.telemetry import EventLog

_TYPE_BY_KIND: dict[MessageKind, type] = {
    MessageKind.PING: mem.Ping,
    MessageKind.ACK: mem.Ack,
    MessageKind.INDIRECT_PING: mem.IndirectPing,
    MessageKind.INDIRECT_ACK: mem.IndirectAck,
    MessageKind.UNREACHABLE: mem.Unreachable,
    MessageKind.GOSSIP: mem.Gossip,
    MessageKind.SYNC_REQUEST: mem.SyncRequest,
    MessageKind.SYNC_REPLY: mem.SyncReply,
}


class MembershipDriver:
    """Passes ticks, messages and lists to the detector and notifies listeners of changes."""

    def __init__(
        self,
        *,
        own: ProcessId,
        incarnation: Incarnation,
        link: ControlLink,
        log: EventLog,
        ring: DecisionRing,
        wall_clock: Callable[[], float],
    ) -> None:
        self._link = link
        self._log = log
        self._ring = ring
        self._wall_clock = wall_clock
        self._detector = mem.Detector(
            process_id=own, incarnation=incarnation, seed=hash64(own.encode(), seed=incarnation)
        )
        self._listeners: list[Callable[[], None]] = []
        self._is_changed = False
        self._timer = PeriodicTimer(interval_s=mem.TICK_INTERVAL_S, callback=self._tick)
        for kind, message_type in _TYPE_BY_KIND.items():
            link.register(kind, message_type, self._receive)

    @property
    def view(self) -> mem.MembershipView:
        """Membership states of all processes, as this process sees them."""
        return self._detector.view

    @property
    def is_expired(self) -> bool:
        """True if the view has expired and decisions must not use it."""
        return self._detector.is_expired

    def listen(self, listener: Callable[[], None]) -> None:
        """Call ``listener()`` once after any number of changes in one turn of the loop."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start ticking."""
        self._timer.start()

    def close(self) -> None:
        """Stop ticking."""
        self._timer.close()

    def set_list(self, version: int, vms: VmList) -> None:
        """Apply a version of the platform's list of VMs."""
        members = tuple(_member(vm) for vm in vms.vms)
        self._handle(mem.ListReceived(version, members))
        self._schedule_notification()

    def announce_leave(self) -> None:
        """Announce to the other processes that this process is stopping."""
        self._handle(mem.LeaveAnnounced())

    def port_closed(self, process_id: ProcessId) -> None:
        """Report to the detector that the VM of an agent answered "port closed"."""
        self._handle(mem.PortClosed(process_id))

    def _receive(self, sender: ProcessId, message: mem.Message) -> None:
        self._handle(mem.MessageReceived(sender, message))

    def _tick(self) -> None:
        self._handle(mem.Tick())

    def _handle(self, event: mem.Event) -> None:
        for action in self._detector.handle(event, asyncio.get_running_loop().time()):
            self._apply(action)

    def _apply(self, action: mem.Action) -> None:
        match action:
            case mem.SendMessage(destination, message):
                self._link.send(destination, message)
            case mem.StateChanged(process_id, state, incarnation):
                self._log.write(
                    Event.MEMBER_CHANGED,
                    member=process_id,
                    state=state.value,
                    incarnation=incarnation,
                )
                self._record(process_id, f"{state.value}, incarnation {incarnation}")
                self._schedule_notification()
            case mem.PanicChanged(active):
                self._log.write(Event.PANIC_THRESHOLD, active=active)
            case mem.ViewExpired(gap_s):
                self._log.write(Event.CLOCK_JUMPED, gap_s=round(gap_s, 3))
                self._schedule_notification()
            case mem.SuspicionRefuted(liveness):
                self._log.write(Event.REFUTED, refutation=liveness.refutation)
            case mem.Superseded(liveness):
                self._log.write(Event.SUPERSEDED, incarnation=liveness.incarnation)
            case mem.ViewRefreshed():
                self._schedule_notification()

    def _record(self, process_id: ProcessId, cause: str) -> None:
        self._ring.record(
            Decision(
                at=self._wall_clock(),
                event=Event.MEMBER_CHANGED,
                cause=cause,
                subjects={SubjectKind.UPSTREAM: process_id},
                important=True,
            )
        )

    def _schedule_notification(self) -> None:
        if not self._is_changed:
            self._is_changed = True
            asyncio.get_running_loop().call_soon(self._notify)

    def _notify(self) -> None:
        self._is_changed = False
        for listener in self._listeners:
            listener()


def _member(vm: Vm) -> mem.Member:
    return mem.Member(
        process_id=ProcessId(vm.name),
        role=mem.Role(vm.role),
        failure_domain=FailureDomain(vm.failure_domain),
        service=None if vm.service is None else ServiceName(vm.service),
        leaving=vm.state == "leaving",
    )
