"""What clients are promised about requests, with processes on loopback."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from laburnumbridge.standins.client import connect
from laburnumbridge.standins.errors import AnswerCutError
from laburnumbridge.standins.harness import SERVER_NAME
from laburnumbridge.standins.harness import Harness
from laburnumbridge.standins.harness import ServicePlan

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from laburnumbridge.standins.client import QuicClientFlow

SERVICE = "workshop-desk"
UPSTREAMS = tuple(f"{SERVICE}-{number}" for number in range(1, 8))
LIMIT = 10
BURST = 20
TOKEN = "a-museum-token"
LIMITED = ("authorization", f"Bearer {TOKEN}")
# An accepted change to the lists is in force everywhere within this time.
CHANGE_BOUND_S = 15.0
# A leaving upstream gets no new work after this time.
LEAVING_BOUND_S = 3.0
LARGE_BYTES = 5_000_000
LOSS = 0.02
# Bounds hanging only.
HANG_S = 40.0
# Work that doesn't end within a test.
ENDLESS_MS = 60_000

Answered = tuple[dict[str, str], bytes]


class Desk:
    """The harness with the flows that the tests of a class share."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.plans_version = 0
        self._flow_by_upstream: dict[str, QuicClientFlow] = {}
        self._probes = 0

    async def limit_plan(self) -> None:
        """Publish a plan with a limit and one client account that is on it."""
        harness = self.harness
        plans = [
            {"name": "standard", "services": [SERVICE]},
            {"name": "limited", "services": [SERVICE], "concurrent_requests": LIMIT},
        ]
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        client_account = {"name": "museum", "token_sha256": digest, "plan": "limited"}
        harness.lists["plans"] = {"plans": plans}
        harness.lists["guests"] = {"default_plan": "standard", "guests": [client_account]}
        self.plans_version = await harness.publish("plans")
        client_accounts_version = await harness.publish("guests")
        await harness.wait_in_force("plans", self.plans_version, timeout_s=CHANGE_BOUND_S)
        await harness.wait_in_force("guests", client_accounts_version, timeout_s=CHANGE_BOUND_S)

    async def flow_to(self, upstream: str) -> QuicClientFlow:
        """Return an open flow whose agent is the one beside an upstream."""
        async with asyncio.timeout(HANG_S):
            while True:
                flow = self._flow_by_upstream.pop(upstream, None) or await self.open_flow()
                if flow.broken is not None or flow.goaway_received:
                    continue
                self._probes += 1
                head, _ = await flow.request("GET", f"/requests/probe-{self._probes}")
                self._flow_by_upstream[head["upstream"]] = flow
                if head["upstream"] == upstream:
                    return flow

    async def open_flow(self) -> QuicClientFlow:
        """Open a flow wherever the balancers place it."""
        return await connect(
            self.harness.service_address(SERVICE),
            authority=self.harness.root_certificate,
            server_name=SERVER_NAME,
        )

    async def runs(self, request_id: str, *, among: tuple[str, ...] = UPSTREAMS) -> int:
        """How often the upstreams ran a request in all."""
        counts = await asyncio.gather(*(self.harness.upstream_runs(name) for name in among))
        return sum(count.get(request_id, 0) for count in counts)

    async def wait_run(self, upstream: str, request_id: str) -> None:
        """Wait until an upstream has begun to run a request."""
        async with asyncio.timeout(HANG_S):
            while not await self.runs(request_id, among=(upstream,)):
                await asyncio.sleep(0.02)


@pytest_asyncio.fixture(scope="class", loop_scope="class")
async def desk(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[Desk]:
    harness = Harness(
        folder=tmp_path_factory.mktemp("promises"),
        services=(ServicePlan(name=SERVICE, upstreams=len(UPSTREAMS)),),
    )
    try:
        await harness.start()
        shared = Desk(harness)
        await shared.limit_plan()
        yield shared
    finally:
        await harness.close()


async def request(flow: QuicClientFlow, method: str, path: str, **headers: str) -> Answered:
    """Send a request; header names are given with underscores."""
    fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
    body = b"{}" if method == "POST" else b""
    async with asyncio.timeout(HANG_S):
        return await flow.request(method, path, headers=fields, body=body)


def refusal(head: dict[str, str]) -> dict[str, str]:
    """Return the parts of a refusal header; empty where the request was not refused."""
    parts = head.get("laburnumbridge-refusal", "").split("; ")
    return dict(part.split("=", 1) for part in parts if part)


@pytest.mark.asyncio(loop_scope="class")
class TestRequestPromises:
    async def test_limit_is_exact_across_the_fleet(self, desk: Desk) -> None:
        # Guards against needless refusals, over-admission and refusals of requests that ran: a
        # limit of 10 is reached by requests that are spread over seven agents.
        flows = [await desk.flow_to(name) for name in UPSTREAMS]
        for burst in range(3):
            ids = [f"burst-{burst}-{index}" for index in range(BURST)]
            sent = [
                request(
                    flows[index % len(flows)],
                    "POST",
                    f"/requests/{request_id}?work_ms=1500",
                    authorization=LIMITED[1],
                )
                for index, request_id in enumerate(ids)
            ]
            answers = await asyncio.gather(*sent)
            refused = {i: head for i, (head, _) in zip(ids, answers, strict=True) if refusal(head)}
            statuses = Counter(head[":status"] for head, _ in answers)
            assert statuses == {"200": LIMIT, "429": BURST - LIMIT}, (burst, statuses)
            for request_id, head in refused.items():
                assert refusal(head) == {
                    "reason": "plan_concurrency",
                    "plan": "limited",
                    "limit": str(LIMIT),
                    "used": str(LIMIT),
                    "version": str(desk.plans_version),
                }
                assert await desk.runs(request_id) == 0

    async def test_post_is_not_run_again_when_its_upstream_is_killed(self, desk: Desk) -> None:
        # Guards P4 and P5: a retry on a sibling would run the request twice, and a refusal would
        # tell the client that it didn't run.
        upstream = UPSTREAMS[0]
        flow = await desk.flow_to(upstream)
        path = f"/requests/killed?work_ms={ENDLESS_MS}"
        sent = asyncio.create_task(request(flow, "POST", path))
        await desk.wait_run(upstream, "killed")
        desk.harness.kill_upstream(upstream)
        head, _ = await sent
        assert (head[":status"], head["laburnumbridge-outcome"]) == ("502", "unknown")
        assert refusal(head) == {}
        assert await desk.runs("killed", among=UPSTREAMS[1:]) == 0
        await desk.harness.restart_upstream(upstream)

    async def test_repeat_of_a_key_joins_the_first_run(self, desk: Desk) -> None:
        # Guards P5 against a client that repeats over another flow, at another agent.
        first, second = await desk.flow_to(UPSTREAMS[1]), await desk.flow_to(UPSTREAMS[2])
        path = "/requests/keyed?work_ms=1000"
        headers = {"idempotency_key": "lodgement-1"}
        sent = asyncio.create_task(
            request(first, "POST", path, laburnumbridge_first_attempt_ms="0", **headers)
        )
        await asyncio.sleep(0.3)
        joined = await request(
            second, "POST", path, laburnumbridge_first_attempt_ms="300", **headers
        )
        answered = await sent
        late = await request(
            second, "POST", path, laburnumbridge_first_attempt_ms="2000", **headers
        )
        for head, body in (answered, joined, late):
            assert (head[":status"], body) == ("200", answered[1])
        assert await desk.runs("keyed") == 1

    async def test_get_is_retried_when_the_own_upstream_refuses_connections(
        self, desk: Desk
    ) -> None:
        # Guards against clients who see the loss of one upstream process beside a live agent.
        upstream = UPSTREAMS[3]
        flow = await desk.flow_to(upstream)
        desk.harness.kill_upstream(upstream)
        head, _ = await request(flow, "GET", "/requests/retried")
        assert head[":status"] == "200"
        assert head["upstream"] in set(UPSTREAMS) - {upstream}
        await desk.harness.restart_upstream(upstream)

    async def test_shed_request_is_retried_or_refused_honestly(self, desk: Desk) -> None:
        # Guards P4: a POST that was shed has gone to an upstream and isn't sent to another one.
        upstream = UPSTREAMS[4]
        flow = await desk.flow_to(upstream)
        await desk.harness.set_upstream_faults(upstream, shed=True)
        posted, _ = await request(flow, "POST", "/requests/shed-post")
        assert (posted[":status"], refusal(posted)["reason"]) == ("503", "upstream_shedding")
        assert int(posted["retry-after"]) >= 1
        got, _ = await request(flow, "GET", "/requests/shed-get")
        await desk.harness.set_upstream_faults(upstream, shed=False)
        assert await desk.runs("shed-post") == 0
        retried = got[":status"] == "200"
        assert retried or refusal(got)["reason"] == "upstream_shedding"
        assert await desk.runs("shed-get") == retried

    async def test_expired_request_is_told_honestly(self, desk: Desk) -> None:
        # Guards P4: a running POST may have had its effect, so it must not count as not run.
        flow = await desk.flow_to(UPSTREAMS[5])
        deadline = {"laburnumbridge_deadline_ms": "300"}
        path = f"/requests/expired-%s?work_ms={ENDLESS_MS}"
        posted, _ = await request(flow, "POST", path % "post", **deadline)
        got, _ = await request(flow, "GET", path % "get", **deadline)
        assert (posted[":status"], posted["laburnumbridge-outcome"]) == ("502", "unknown")
        assert (got[":status"], refusal(got)) == ("504", {})
        assert await desk.runs("expired-post") == 1

    async def test_cancellation_frees_the_slot_and_queued_requests_expire(self, desk: Desk) -> None:
        # Guards against slots that stay in use after their clients are gone, and against expired
        # requests that run later.
        upstream = UPSTREAMS[5]
        flow = await desk.flow_to(upstream)
        path = f"/requests/%s?work_ms={ENDLESS_MS}"
        streams = [flow.open_request("GET", path % f"held-{n}")[0] for n in range(4)]
        await asyncio.gather(*(desk.wait_run(upstream, f"held-{n}") for n in range(4)))
        head, _ = await request(flow, "POST", "/requests/queued", laburnumbridge_deadline_ms="300")
        assert (head[":status"], refusal(head)["reason"]) == ("504", "deadline_expired")
        waiting = asyncio.create_task(request(flow, "POST", "/requests/next"))
        await asyncio.sleep(0.2)
        assert await desk.runs("next") == 0
        flow.cancel(streams[0])
        head, _ = await waiting
        assert head[":status"] == "200"
        for stream_id in streams[1:]:
            flow.cancel(stream_id)
        assert await desk.runs("queued") == 0

    async def test_large_answer_is_whole_under_loss(self, desk: Desk) -> None:
        # Guards P3: lost and reordered packets must not shorten or mix an answer.
        flow = await desk.open_flow()
        await desk.harness.set_fabric_faults(loss=LOSS)
        try:
            head, body = await request(flow, "GET", f"/documents/{LARGE_BYTES}")
        finally:
            await desk.harness.set_fabric_faults()
        assert head[":status"] == "200"
        assert body == b"d" * LARGE_BYTES

    async def test_cut_answer_is_signalled(self, desk: Desk) -> None:
        # Guards P3: an upstream that is lost while it sends must not leave a short answer that
        # looks whole.
        upstream = UPSTREAMS[6]
        flow = await desk.flow_to(upstream)
        _, answer = flow.open_request("GET", f"/documents/{LARGE_BYTES}?pause_ms=50")
        async with asyncio.timeout(HANG_S):
            head = await answer.headers
            await answer.body.get()
            desk.harness.kill_upstream(upstream)
            with pytest.raises(AnswerCutError):
                await answer.read()
        assert head[":status"] == "200"
        await desk.harness.restart_upstream(upstream)

    async def test_leaving_upstream_runs_nothing_new(self, desk: Desk) -> None:
        # Guards P6 and P7: requests on a flow that stays open are run by siblings.
        upstream = UPSTREAMS[1]
        flow = await desk.flow_to(upstream)
        desk.harness.machines_by_name[upstream].state = "leaving"
        await desk.harness.publish_vms()
        await asyncio.sleep(LEAVING_BOUND_S)
        before = await desk.harness.upstream_runs(upstream)
        sent = (request(flow, "POST", f"/requests/moved-{n}") for n in range(10))
        answers = await asyncio.gather(*sent)
        assert {head[":status"] for head, _ in answers} == {"200"}
        assert upstream not in {head["upstream"] for head, _ in answers}
        assert await desk.harness.upstream_runs(upstream) == before
