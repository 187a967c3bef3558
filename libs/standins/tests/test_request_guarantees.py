"""Guarantees to clients about their requests, with processes on loopback."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import TYPE_CHECKING

import pytest
import pytest_asyncio

from laburnumbridge.standins.client import connect
from laburnumbridge.standins.errors import TruncatedAnswerError
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
# A leaving upstream receives no new work after this time.
LEAVING_BOUND_S = 3.0
LARGE_BYTES = 5_000_000
LOSS = 0.02
# Only ends a test that hangs.
HANG_TIMEOUT_S = 40.0
# Longer than any test, so that the work doesn't end within it.
BEYOND_TEST_MS = 60_000

Answered = tuple[dict[str, str], bytes]


class SharedFleet:
    """The harness with the flows that the tests of a class share."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.plans_version = 0
        self._flow_by_upstream: dict[str, QuicClientFlow] = {}
        self._probes = 0

    async def publish_limited_plan(self) -> None:
        """Publish a plan with a limit and one client account on it, and wait until both apply."""
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
        async with asyncio.timeout(HANG_TIMEOUT_S):
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
        """Return how often all upstreams in ``among`` together ran a request."""
        counts = await asyncio.gather(*(self.harness.upstream_runs(name) for name in among))
        return sum(count.get(request_id, 0) for count in counts)

    async def wait_run(self, upstream: str, request_id: str) -> None:
        """Wait until an upstream has begun to run a request."""
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while not await self.runs(request_id, among=(upstream,)):
                await asyncio.sleep(0.02)


@pytest_asyncio.fixture(scope="class", loop_scope="class")
async def fleet(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[SharedFleet]:
    harness = Harness(
        folder=tmp_path_factory.mktemp("guarantees"),
        services=(ServicePlan(name=SERVICE, upstreams=len(UPSTREAMS)),),
    )
    try:
        await harness.start()
        shared = SharedFleet(harness)
        await shared.publish_limited_plan()
        yield shared
    finally:
        await harness.close()


async def request(flow: QuicClientFlow, method: str, path: str, **headers: str) -> Answered:
    """Send a request; header names are given with underscores."""
    fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
    body = b"{}" if method == "POST" else b""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        return await flow.request(method, path, headers=fields, body=body)


def refusal(head: dict[str, str]) -> dict[str, str]:
    """Return the parts of a refusal header; empty where the request was not refused."""
    parts = head.get("laburnumbridge-refusal", "").split("; ")
    return dict(part.split("=", 1) for part in parts if part)


@pytest.mark.asyncio(loop_scope="class")
class TestRequestGuarantees:
    async def test_limit_is_exact_across_the_fleet(self, fleet: SharedFleet) -> None:
        # Guards against needless refusals, over-admission and refusals of requests that ran, when
        # the requests that reach a limit of 10 are spread over seven agents.
        flows = [await fleet.flow_to(name) for name in UPSTREAMS]
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
                    "version": str(fleet.plans_version),
                }
                assert await fleet.runs(request_id) == 0

    async def test_post_is_not_run_again_when_its_upstream_is_killed(
        self, fleet: SharedFleet
    ) -> None:
        # Guards P4 and P5: a retry on a sibling would run the request twice, and a refusal would
        # report to the client that it didn't run.
        upstream = UPSTREAMS[0]
        flow = await fleet.flow_to(upstream)
        path = f"/requests/killed?work_ms={BEYOND_TEST_MS}"
        sent = asyncio.create_task(request(flow, "POST", path))
        await fleet.wait_run(upstream, "killed")
        fleet.harness.kill_upstream(upstream)
        head, _ = await sent
        assert (head[":status"], head["laburnumbridge-outcome"]) == ("502", "unknown")
        assert refusal(head) == {}
        assert await fleet.runs("killed", among=UPSTREAMS[1:]) == 0
        await fleet.harness.restart_upstream(upstream)

    async def test_repeat_of_a_key_joins_the_first_run(self, fleet: SharedFleet) -> None:
        # Guards P5 against a second run when a client repeats a request over another flow, at
        # another agent.
        first, second = await fleet.flow_to(UPSTREAMS[1]), await fleet.flow_to(UPSTREAMS[2])
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
        assert await fleet.runs("keyed") == 1

    async def test_get_is_retried_when_the_agents_own_upstream_is_down(
        self, fleet: SharedFleet
    ) -> None:
        # Guards against errors at clients when one upstream process is lost and its agent is live.
        upstream = UPSTREAMS[3]
        flow = await fleet.flow_to(upstream)
        fleet.harness.kill_upstream(upstream)
        head, _ = await request(flow, "GET", "/requests/retried")
        assert head[":status"] == "200"
        assert head["upstream"] in set(UPSTREAMS) - {upstream}
        await fleet.harness.restart_upstream(upstream)

    async def test_shed_get_is_retried_or_refused_and_post_is_refused(
        self, fleet: SharedFleet
    ) -> None:
        # Guards P4: a POST that was shed has reached an upstream and isn't sent to another one.
        upstream = UPSTREAMS[4]
        flow = await fleet.flow_to(upstream)
        await fleet.harness.set_upstream_faults(upstream, shed=True)
        posted, _ = await request(flow, "POST", "/requests/shed-post")
        assert (posted[":status"], refusal(posted)["reason"]) == ("503", "upstream_shedding")
        assert int(posted["retry-after"]) >= 1
        got, _ = await request(flow, "GET", "/requests/shed-get")
        await fleet.harness.set_upstream_faults(upstream, shed=False)
        assert await fleet.runs("shed-post") == 0
        retried = got[":status"] == "200"
        assert retried or refusal(got)["reason"] == "upstream_shedding"
        assert await fleet.runs("shed-get") == retried

    async def test_expired_post_is_reported_as_unknown(self, fleet: SharedFleet) -> None:
        # Guards P4: a running POST may have had its effect, so it must not be
        # reported as not run.
        flow = await fleet.flow_to(UPSTREAMS[5])
        deadline = {"laburnumbridge_deadline_ms": "300"}
        path = f"/requests/expired-%s?work_ms={BEYOND_TEST_MS}"
        posted, _ = await request(flow, "POST", path % "post", **deadline)
        got, _ = await request(flow, "GET", path % "get", **deadline)
        assert (posted[":status"], posted["laburnumbridge-outcome"]) == ("502", "unknown")
        assert (got[":status"], refusal(got)) == ("504", {})
        assert await fleet.runs("expired-post") == 1

    async def test_cancellation_frees_the_slot_and_queued_requests_expire(
        self, fleet: SharedFleet
    ) -> None:
        # Guards against slots that stay in use after their requests are cancelled, and against
        # expired requests that run later.
        upstream = UPSTREAMS[5]
        flow = await fleet.flow_to(upstream)
        path = f"/requests/%s?work_ms={BEYOND_TEST_MS}"
        streams = [flow.open_request("GET", path % f"held-{n}")[0] for n in range(4)]
        await asyncio.gather(*(fleet.wait_run(upstream, f"held-{n}") for n in range(4)))
        head, _ = await request(flow, "POST", "/requests/queued", laburnumbridge_deadline_ms="300")
        assert (head[":status"], refusal(head)["reason"]) == ("504", "deadline_expired")
        waiting = asyncio.create_task(request(flow, "POST", "/requests/next"))
        await asyncio.sleep(0.2)
        assert await fleet.runs("next") == 0
        flow.cancel(streams[0])
        head, _ = await waiting
        assert head[":status"] == "200"
        for stream_id in streams[1:]:
            flow.cancel(stream_id)
        assert await fleet.runs("queued") == 0

    async def test_large_answer_is_whole_under_loss(self, fleet: SharedFleet) -> None:
        # Guards P3: lost and reordered packets must not shorten or mix an answer.
        flow = await fleet.open_flow()
        await fleet.harness.set_fabric_faults(loss=LOSS)
        try:
            head, body = await request(flow, "GET", f"/documents/{LARGE_BYTES}")
        finally:
            await fleet.harness.set_fabric_faults()
        assert head[":status"] == "200"
        assert body == b"d" * LARGE_BYTES

    async def test_truncated_answer_raises_an_error(self, fleet: SharedFleet) -> None:
        # Guards P3: when an upstream is lost while it sends, the client must not take the short
        # answer for a whole one.
        upstream = UPSTREAMS[6]
        flow = await fleet.flow_to(upstream)
        _, answer = flow.open_request("GET", f"/documents/{LARGE_BYTES}?pause_ms=50")
        async with asyncio.timeout(HANG_TIMEOUT_S):
            head = await answer.headers
            await answer.body.get()
            fleet.harness.kill_upstream(upstream)
            with pytest.raises(TruncatedAnswerError):
                await answer.read()
        assert head[":status"] == "200"
        await fleet.harness.restart_upstream(upstream)

    async def test_leaving_upstream_runs_nothing_new(self, fleet: SharedFleet) -> None:
        # Guards P6 and P7: siblings of a leaving agent run the requests on a flow that stays open.
        upstream = UPSTREAMS[1]
        flow = await fleet.flow_to(upstream)
        fleet.harness.machines_by_name[upstream].state = "leaving"
        await fleet.harness.publish_vms()
        await asyncio.sleep(LEAVING_BOUND_S)
        before = await fleet.harness.upstream_runs(upstream)
        sent = (request(flow, "POST", f"/requests/moved-{n}") for n in range(10))
        answers = await asyncio.gather(*sent)
        assert {head[":status"] for head, _ in answers} == {"200"}
        assert upstream not in {head["upstream"] for head, _ in answers}
        assert await fleet.harness.upstream_runs(upstream) == before
