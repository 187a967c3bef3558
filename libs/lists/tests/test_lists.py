from __future__ import annotations

import json
from hashlib import sha256

import pytest

from laburnumbridge.lists import ClientAccountDirectory
from laburnumbridge.lists import ClientAccountList
from laburnumbridge.lists import InvalidListError
from laburnumbridge.lists import PlanList
from laburnumbridge.lists import ServiceList
from laburnumbridge.lists import Severity
from laburnumbridge.lists import VmList
from laburnumbridge.lists import check_lists
from laburnumbridge.lists import parse_list

KEY = {"number": 1, "key": "0f" * 16, "current": True}
DESK = {"name": "workshop-desk", "number": 1, "address": "192.0.2.1:443"}


def make_services(**changes: object) -> ServiceList:
    content = {"routing_keys": [KEY], "services": [DESK], **changes}
    return parse_list("services", json.dumps(content), ServiceList)


def make_plans(*plans: dict[str, object]) -> PlanList:
    return parse_list("plans", json.dumps({"plans": plans}), PlanList)


def make_client_accounts(
    *client_accounts: dict[str, object], default: str = "public"
) -> ClientAccountList:
    content = {"default_plan": default, "guests": client_accounts}
    return parse_list("guests", json.dumps(content), ClientAccountList)


class TestParseList:
    def test_a_fault_reports_its_path(self) -> None:
        plans = [{"name": "a", "services": ["x"]}, {"name": "b", "services": ["x"], "ceiling": 2}]
        with pytest.raises(InvalidListError) as caught:
            make_plans(*plans)
        assert [p.path for p in caught.value.problems] == ["plans.plans[1].ceiling"]

    @pytest.mark.parametrize(
        "payload",
        [
            b"",
            b"{",
            b"[]",
            b'{"plans": []}',
            b'{"plans": [{"name": "a"}]}',
            b"\xff",
            b"[" * 2_000 + b"]" * 2_000,
        ],
        ids=lambda payload: repr(payload[:30]),
    )
    def test_malformed_documents_raise_typed_errors(self, payload: bytes) -> None:
        with pytest.raises(InvalidListError):
            parse_list("plans", payload, PlanList)

    def test_repeated_names_and_two_current_keys_are_rejected(self) -> None:
        with pytest.raises(InvalidListError, match="repeats"):
            make_services(services=[DESK, DESK])
        with pytest.raises(InvalidListError, match="exactly one routing key"):
            make_services(routing_keys=[KEY, {**KEY, "number": 2}])

    def test_an_agent_without_its_capacity_is_rejected(self) -> None:
        vm = {"name": "a", "role": "agent", "failure_domain": "f", "region": "r"}
        vm |= {"address": "192.0.2.1:1", "control_address": "192.0.2.1:2"}
        with pytest.raises(InvalidListError, match="an agent needs"):
            parse_list("vms", json.dumps({"vms": [vm]}), VmList)


class TestCheckLists:
    def test_unknown_names_and_shares_above_one_are_errors(self) -> None:
        problems = check_lists(
            services=make_services(),
            client_accounts=make_client_accounts(
                {"name": "g", "plan": "gold", "prefixes": ["192.0.2.0/24"]}
            ),
            plans=make_plans(
                {"name": "a", "services": ["workshop-desk"], "guaranteed_share": 0.7},
                {"name": "b", "services": ["workshop-desk", "x"], "guaranteed_share": 0.7},
            ),
        )
        assert [p.path for p in problems] == [
            "guests.default_plan",
            "guests.guests[0].plan",
            "plans.plans[1].services[1]",
            "plans.plans[*].guaranteed_share",
        ]

    def test_a_limit_above_the_capacity_is_a_warning(self) -> None:
        vm = {"name": "a", "role": "agent", "failure_domain": "f", "region": "r", "number": 1}
        vm |= {"address": "192.0.2.1:1", "control_address": "192.0.2.1:2"}
        vm |= {"service": "workshop-desk", "slots": 4, "connections": 2000}
        plan = {"name": "public", "services": ["workshop-desk"], "concurrent_requests": 9}
        problems = check_lists(
            services=make_services(),
            client_accounts=make_client_accounts(),
            plans=make_plans(plan),
            vms=parse_list("vms", json.dumps({"vms": [vm]}), VmList),
        )
        assert [(p.path, p.severity) for p in problems] == [
            ("plans.plans[0].concurrent_requests", Severity.WARNING)
        ]


class TestClientAccountDirectory:
    def test_a_token_precedes_prefixes_and_the_longest_prefix_matches(self) -> None:
        directory = ClientAccountDirectory(
            client_accounts=make_client_accounts(
                {"name": "t", "plan": "a", "token_sha256": sha256(b"secret").hexdigest()},
                {"name": "wide", "plan": "b", "prefixes": ["192.0.2.0/24"]},
                {"name": "narrow", "plan": "c", "prefixes": ["192.0.2.128/25", "2001:db8::/32"]},
            )
        )
        found = [
            directory.find(authorization=authorization, source=source).client_account
            for authorization, source in (
                ("Bearer secret", "192.0.2.200"),
                ("Bearer wrong", "192.0.2.200"),
                (None, "192.0.2.1"),
                (None, "2001:db8::1"),
                (None, "198.51.100.1"),
            )
        ]
        assert found == ["t", "narrow", "wide", "narrow", None]
