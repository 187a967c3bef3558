from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc
import grpc.aio
import pytest

from laburnumbridge.runtime.fleet_reader import FleetProcess
from laburnumbridge.runtime.fleet_reader import GrpcFleetReader
from laburnumbridge.standins.certificates import CertificateAuthority
from laburnumbridge.telemetry import ExplainAnswer
from laburnumbridge.telemetry import ProcessFacts
from laburnumbridge.telemetry import ProcessSnapshot
from laburnumbridge.telemetry import SubjectKind
from laburnumbridge.telemetry import encode_answer
from laburnumbridge.telemetry import encode_snapshot
from laburnumbridge.wire import ChannelPool
from laburnumbridge.wire import Endpoint
from laburnumbridge.wire import FileCertificateSource
from laburnumbridge.wire import ServerCertificates
from laburnumbridge.wire import control_pb2
from laburnumbridge.wire import control_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

FACTS = ProcessFacts(name="a", role="agent", region="r", failure_domain="f", started_at=1.0)
SNAPSHOT = encode_snapshot(ProcessSnapshot(facts=FACTS, taken_at=2.0))


class FakeControl(control_pb2_grpc.ControlServicer):
    def __init__(self) -> None:
        self.open_calls = 0
        self.most_open_calls = 0
        self.subjects: list[str] = []

    async def Status(self, request, context):  # noqa: N802
        self.open_calls += 1
        self.most_open_calls = max(self.most_open_calls, self.open_calls)
        await asyncio.sleep(0.01)
        self.open_calls -= 1
        return control_pb2.JsonResponse(json=SNAPSHOT)

    async def Metrics(self, request, context):  # noqa: N802
        return control_pb2.JsonResponse(json=b"{")

    async def Explain(self, request, context):  # noqa: N802
        if request.subject == "flow:hang":
            await asyncio.Event().wait()
        self.subjects.append(request.subject)
        return control_pb2.JsonResponse(json=encode_answer(ExplainAnswer(process="a")))


class Fleet:
    def __init__(self, folder: Path) -> None:
        authority = CertificateAuthority()
        root = authority.write_root(folder / "root.pem")
        chain, key = authority.issue("laburnumbridge", addresses=[], folder=folder)
        self.source = FileCertificateSource(authorities=root, chain=chain, private_key=key)
        self.control = FakeControl()
        self.server = grpc.aio.server()
        control_pb2_grpc.add_ControlServicer_to_server(self.control, self.server)
        credentials = ServerCertificates(source=self.source).credentials()
        port = self.server.add_secure_port("127.0.0.1:0", credentials)
        self.process = FleetProcess(name="a", endpoint=Endpoint("127.0.0.1", port))

    def reader(self, *, timeout_s: float = 10.0, concurrency: int = 8) -> GrpcFleetReader:
        pool = ChannelPool(source=self.source)
        return GrpcFleetReader(pool=pool, timeout_s=timeout_s, concurrency=concurrency)


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    fleet = Fleet(tmp_path)
    await fleet.server.start()
    yield fleet
    await fleet.server.stop(None)


class TestGrpcFleetReader:
    async def test_each_process_is_called_once_with_bounded_concurrency(self, fleet: Fleet) -> None:
        reader = fleet.reader(concurrency=4)
        replies = [reply async for reply in reader.status([fleet.process] * 30)]
        assert [reply.content.facts for reply in replies if reply.content] == [FACTS] * 30
        assert fleet.control.most_open_calls <= 4
        await reader.close()

    async def test_a_process_that_does_not_answer_is_reported(self, fleet: Fleet) -> None:
        # Guards against a fleet that looks complete while some processes are unresponsive.
        unavailable = FleetProcess(name="unavailable", endpoint=Endpoint("127.0.0.1", 1))
        reader = fleet.reader()
        replies = [reply async for reply in reader.status([unavailable, fleet.process])]
        failure_by_name = {reply.process.name: reply.failure for reply in replies}
        assert failure_by_name["a"] is None
        assert failure_by_name["unavailable"] is not None
        assert failure_by_name["unavailable"].startswith("unavailable: ")
        assert "\n" not in failure_by_name["unavailable"]
        await reader.close()

    async def test_a_malformed_answer_is_reported(self, fleet: Fleet) -> None:
        reader = fleet.reader()
        replies = [reply async for reply in reader.metrics([fleet.process])]
        assert "can't be read" in str(replies[0].failure)
        await reader.close()

    async def test_an_address_that_another_process_uses_now_is_reported(self, fleet: Fleet) -> None:
        # Guards against counting one process twice while the list of VMs is outdated.
        former = FleetProcess(name="former", endpoint=fleet.process.endpoint)
        reader = fleet.reader()
        for replies in (
            reader.status([former]),
            reader.explain([former], kind=SubjectKind.FLOW, identifier="0a1b"),
        ):
            failures = [reply.failure async for reply in replies]
            assert failures == ["'a' answers at the address of 'former'"]
        await reader.close()

    async def test_a_call_of_a_hanging_process_ends_at_its_timeout(self, fleet: Fleet) -> None:
        reader = fleet.reader(timeout_s=0.2)
        found = reader.explain([fleet.process], kind=SubjectKind.FLOW, identifier="hang")
        assert [reply.failure async for reply in found] == ["no answer within 0.2 s"]
        await reader.close()

    async def test_decisions_are_requested_by_kind_and_identifier(self, fleet: Fleet) -> None:
        reader = fleet.reader()
        found = reader.explain([fleet.process], kind=SubjectKind.FLOW, identifier="0a1b")
        contents = [reply.content async for reply in found]
        assert contents == [ExplainAnswer(process="a")]
        assert fleet.control.subjects == ["flow:0a1b"]
        await reader.close()
