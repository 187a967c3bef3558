"""Drives the configuration relay of one process."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import grpc

from laburnumbridge import configuration as conf
from laburnumbridge.core import FailureDomain
from laburnumbridge.core import ProcessId
from laburnumbridge.core import hash64
from laburnumbridge.lists import InvalidListError
from laburnumbridge.lists import parse_list
from laburnumbridge.runtime.control.message_kinds import MessageKind
from laburnumbridge.runtime.control.timer import PeriodicTimer
from laburnumbridge.runtime.errors import PlatformUnavailableError
from laburnumbridge.runtime.published_lists.fleet_view import MODEL_BY_NAME
from laburnumbridge.runtime.published_lists.peer_versions import PeerVersions
from laburnumbridge.runtime.published_lists.version_digests import VersionDigests
from laburnumbridge.telemetry import Event
from laburnumbridge.wire import control_pb2
from laburnumbridge.wire import control_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterable

    from laburnumbridge.core import Incarnation
    from laburnumbridge.runtime.control.control_link import ControlLink
    from laburnumbridge.runtime.published_lists.fleet_view import FleetView
    from laburnumbridge.runtime.published_lists.platform_client import PlatformClient
    from laburnumbridge.telemetry import EventLog
    from laburnumbridge.wire import ChannelPool

TICK_S = 0.25
PEER_TIMEOUT_S = 5.0
# Before it serves, a process with all values in force waits up to PEER_WAIT_S for the versions
# of its peers and queries further peers each PEER_REQUEST_INTERVAL_S.
PEER_WAIT_S = 3.0
PEER_REQUEST_INTERVAL_S = 0.25


class ConfigurationDriver:
    """Carries out the reads and peer requests of the relay and updates the fleet view."""

    def __init__(
        self,
        *,
        own: ProcessId,
        incarnation: Incarnation,
        failure_domain: str,
        expected_processes: int,
        client: PlatformClient,
        view: FleetView,
        link: ControlLink,
        channels: ChannelPool,
        log: EventLog,
    ) -> None:
        self._own = own
        self._client = client
        self._view = view
        self._link = link
        self._channels = channels
        self._log = log
        self._relay = conf.ConfigurationRelay(
            process=own,
            incarnation=incarnation,
            failure_domain=FailureDomain(failure_domain),
            seed=hash64(own.encode(), seed=incarnation),
            expected_fleet=expected_processes,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._serving = asyncio.Event()
        self._peer_versions: PeerVersions | None = PeerVersions(own=own)
        self._is_available = True
        self._timer = PeriodicTimer(interval_s=TICK_S, callback=self._tick)
        link.register(MessageKind.VERSION_DIGEST, VersionDigests, self._on_digests)

    @property
    def counters(self) -> conf.RelayCounters:
        """Counts of reads, conflicts and ignored versions."""
        return self._relay.counters

    def vm_list_age_s(self) -> float:
        """Return how many seconds ago the platform last confirmed the list of VMs."""
        return self._relay.confirmed_age_s("vms", self._now())

    async def start(self) -> None:
        """Start reading, and wait until every value is in force.

        Then waits up to PEER_WAIT_S seconds until no peer reports a newer version.
        """
        self._timer.start()
        self._tick()
        await self._serving.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_WAIT_S):
                await self._compare_with_peers()
        self._peer_versions = None

    async def close(self) -> None:
        """Stop reading."""
        self._timer.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_members(self, members: Iterable[tuple[str, str]]) -> None:
        """Replace the live processes, as pairs of name and failure domain."""
        live = tuple(conf.Member(ProcessId(n), FailureDomain(d)) for n, d in members)
        self._handle(conf.MembersChanged(live))

    def answer_request(self, request: control_pb2.GetValueRequest) -> control_pb2.GetValueResponse:
        """Return the response to a peer that requests a value; ``found`` is False without one."""
        if request.name not in MODEL_BY_NAME:
            return control_pb2.GetValueResponse(found=False)
        event = conf.PeerRequest(ProcessId(request.sender), request.name, request.base_version)
        answer = control_pb2.GetValueResponse(found=False)
        for action in self._relay.handle(event, self._now()):
            if isinstance(action, conf.SendValue):
                answer = control_pb2.GetValueResponse(
                    found=True,
                    version=action.version,
                    digest=action.digest,
                    payload=action.payload,
                    deltas=action.deltas,
                )
            else:
                self._apply(action)
        return answer

    async def _compare_with_peers(self) -> None:
        """Query peers until enough have answered and none reports a version newer than here."""
        peer_versions = self._peer_versions
        assert peer_versions is not None
        while True:
            peers = [ProcessId(vm.name) for vm in self._view.vms.vms if vm.name != self._own]
            if peer_versions.are_sufficient(peers=len(peers), versions=self._view.version_by_name):
                return
            for peer in peer_versions.next_peers(peers):
                self._link.send(peer, VersionDigests((), reply_wanted=True))
            await asyncio.sleep(PEER_REQUEST_INTERVAL_S)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _tick(self) -> None:
        self._handle(conf.Tick())

    def _handle(self, event: conf.Event) -> None:
        for action in self._relay.handle(event, self._now()):
            self._apply(action)

    def _apply(self, action: conf.Action) -> None:
        match action:
            case conf.ReadPlatform():
                self._spawn(self._read(action))
            case conf.SendDigest(peer, digests, reply_wanted):
                self._link.send(peer, VersionDigests(digests, reply_wanted))
            case conf.RequestValue():
                self._spawn(self._request(action))
            case conf.ValidateCandidate():
                self._validate(action)
            case conf.ActivateValue(name, version, _, payload):
                if self._view.accept(name, version, payload):
                    self._log.write(Event.LIST_IN_FORCE, list=name, version=version)
            case conf.ReportConflict(name, version):
                self._log.write(Event.LIST_CONFLICT, list=name, version=version)
            case conf.StartServing():
                self._serving.set()

    def _validate(self, action: conf.ValidateCandidate) -> None:
        try:
            parse_list(action.name, action.payload, MODEL_BY_NAME[action.name])
            valid = True
        except InvalidListError as error:
            valid = False
            self._log.write(
                Event.LIST_REJECTED, list=action.name, version=action.version, reason=str(error)
            )
        self._handle(
            conf.CandidateValidated(action.name, action.version, action.digest, valid=valid)
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, action: conf.ReadPlatform) -> None:
        try:
            value = await self._client.read(action.name, after=action.after, wait_s=action.wait_s)
        except PlatformUnavailableError as error:
            if self._is_available:
                self._log.write(Event.PLATFORM_UNAVAILABLE, reason=error.reason)
            self._is_available = False
            self._handle(conf.PlatformUnavailable(action.name))
            return
        if not self._is_available:
            self._log.write(Event.PLATFORM_AVAILABLE)
        self._is_available = True
        if value is None:
            self._handle(conf.PlatformNotModified(action.name))
            return
        in_force = self._relay.version(action.name)
        if value.version < in_force:
            fields = {"list": action.name, "version": value.version, "in_force": in_force}
            self._log.write(Event.LIST_OLDER_IGNORED, **fields)
        self._handle(conf.PlatformAnswer(action.name, value.version, value.payload))

    async def _request(self, action: conf.RequestValue) -> None:
        unavailable = conf.PeerUnavailable(action.peer, action.name)
        endpoint = self._view.control_endpoint(action.peer)
        if endpoint is None:
            self._handle(unavailable)
            return
        stub = control_pb2_grpc.ControlStub(self._channels.channel(endpoint))
        request = control_pb2.GetValueRequest(
            name=action.name, base_version=action.base_version, sender=self._own
        )
        try:
            answer = await stub.GetValue(request, timeout=PEER_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            self._handle(unavailable)
            return
        if not answer.found:
            self._handle(unavailable)
            return
        self._handle(
            conf.PeerValue(
                sender=action.peer,
                name=action.name,
                version=answer.version,
                digest=answer.digest,
                payload=answer.payload if answer.HasField("payload") else None,
                deltas=tuple(answer.deltas),
            )
        )

    def _on_digests(self, sender: ProcessId, message: VersionDigests) -> None:
        if self._peer_versions is not None:
            self._peer_versions.record(sender, message.digests)
        self._handle(conf.PeerDigest(sender, message.digests, message.reply_wanted))
