from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from laburnumbridge.admission import AbortRequest
from laburnumbridge.admission import Admission
from laburnumbridge.admission import AdmissionEvent
from laburnumbridge.admission import AdmissionSettings
from laburnumbridge.admission import ConnectionClosed
from laburnumbridge.admission import ConnectionId
from laburnumbridge.admission import ConnectionOpened
from laburnumbridge.admission import DrainStarted
from laburnumbridge.admission import ExpireRequest
from laburnumbridge.admission import HealthReported
from laburnumbridge.admission import LoadReported
from laburnumbridge.admission import Outcome
from laburnumbridge.admission import RefuseRequest
from laburnumbridge.admission import RequestAnswered
from laburnumbridge.admission import RequestArrived
from laburnumbridge.admission import RequestCancelled
from laburnumbridge.admission import RequestFinished
from laburnumbridge.admission import StartRequest
from laburnumbridge.admission import Tick
from laburnumbridge.admission import UpstreamStartedCold
from laburnumbridge.core import PlanName
from laburnumbridge.core import RequestId

CONNECTIONS = st.sampled_from([ConnectionId(b"a"), ConnectionId(b"b"), ConnectionId(b"c")])


class AdmissionMachine(RuleBasedStateMachine):
    """Guards against lost requests, refusals after a start and more busy slots than allowed."""

    def __init__(self) -> None:
        super().__init__()
        settings_ = AdmissionSettings(slots=3, connections=3, queue_limit=3)
        self.admission = Admission(settings=settings_)
        self.now = 0.0
        self.is_draining = False
        self.waiting: dict[str, float] = {}
        self.running: dict[str, bool] = {}
        self.is_stream: dict[str, bool] = {}

    def handle(self, event: AdmissionEvent) -> None:
        for action in self.admission.handle(event, self.now):
            if isinstance(action, StartRequest):
                self.check_start(action.request_id)
            elif isinstance(action, RefuseRequest | ExpireRequest):
                del self.waiting[action.request_id]
            elif isinstance(action, AbortRequest):
                del self.running[action.request_id]

    def check_start(self, name: str) -> None:
        assert self.waiting.pop(name) > self.now
        self.running[name] = self.is_stream[name]
        if not self.is_stream[name]:
            busy = sum(not is_stream for is_stream in self.running.values())
            assert busy <= self.admission.snapshot().usable_slots or self.is_probe(busy)

    def is_probe(self, busy: int) -> bool:
        return busy == 1 and self.admission.snapshot().is_probing

    @rule(
        plan=st.sampled_from(["p", "q"]),
        wait_s=st.sampled_from([0.0, 0.5, 3.0, 60.0]),
        connection_id=st.none() | CONNECTIONS,
        is_stream=st.booleans(),
    )
    def arrive(
        self, plan: str, wait_s: float, connection_id: ConnectionId | None, is_stream: bool
    ) -> None:
        name = RequestId(f"r{len(self.is_stream)}")
        self.is_stream[name] = is_stream
        self.waiting[name] = self.now + wait_s
        event = RequestArrived(
            request_id=name,
            plan=PlanName(plan),
            deadline=self.now + wait_s,
            is_stream=is_stream,
            connection_id=connection_id,
        )
        self.handle(event)
        assert not (self.is_draining and (name in self.waiting or name in self.running))

    @rule(data=st.data(), outcome=st.sampled_from(Outcome), retry_after_s=st.floats(0, 20))
    def finish(self, data: st.DataObject, outcome: Outcome, retry_after_s: float) -> None:
        if not self.running:
            return
        name = RequestId(data.draw(st.sampled_from(sorted(self.running))))
        del self.running[name]
        event = RequestFinished(request_id=name, outcome=outcome, retry_after_s=retry_after_s)
        self.handle(event)

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        names = sorted(self.waiting | self.running)
        if names:
            name = RequestId(data.draw(st.sampled_from(names)))
            self.waiting.pop(name, None)
            self.running.pop(name, None)
            self.handle(RequestCancelled(request_id=name))

    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        if self.running:
            name = data.draw(st.sampled_from(sorted(self.running)))
            self.handle(RequestAnswered(request_id=RequestId(name)))

    @rule(connection_id=CONNECTIONS, is_open=st.booleans())
    def connection(self, connection_id: ConnectionId, is_open: bool) -> None:
        if is_open:
            self.handle(ConnectionOpened(connection_id=connection_id, plan=PlanName("p")))
        else:
            self.handle(ConnectionClosed(connection_id=connection_id))

    @rule(
        event=st.sampled_from(
            [
                HealthReported(is_up=True),
                HealthReported(is_up=False),
                LoadReported(busy_slots=3),
                UpstreamStartedCold(),
            ]
        )
    )
    def hint(self, event: AdmissionEvent) -> None:
        self.handle(event)

    @rule()
    def drain(self) -> None:
        self.is_draining = True
        self.handle(DrainStarted())

    @rule()
    def advance_to_timer(self) -> None:
        at = self.admission.next_deadline()
        assert at > self.now
        if self.waiting:
            self.now = at
            self.handle(Tick())

    @rule(elapsed_s=st.sampled_from([0.01, 0.4, 2.0]))
    def advance(self, elapsed_s: float) -> None:
        self.now += elapsed_s
        self.handle(Tick())

    @invariant()
    def counts_agree(self) -> None:
        snapshot = self.admission.snapshot()
        assert snapshot.queued == len(self.waiting) <= snapshot.queue_limit
        assert snapshot.streams == sum(self.running.values())
        assert snapshot.busy_slots == len(self.running) - snapshot.streams
        assert snapshot.streams <= snapshot.connections <= snapshot.connection_limit

    def teardown(self) -> None:
        # Every request that waits must start, be refused or expire by its deadline.
        while self.waiting:
            self.advance_to_timer()


AdmissionMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None, database=None
)


class TestAdmissionInvariants(AdmissionMachine.TestCase):
    pass
