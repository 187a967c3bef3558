from __future__ import annotations

import json
from typing import Any

import pytest

from laburnumbridge.lists import ClientAccountList
from laburnumbridge.lists import InvalidListError
from laburnumbridge.lists import ListProblem
from laburnumbridge.lists import PlanList
from laburnumbridge.lists import ServiceList
from laburnumbridge.lists import VmList
from laburnumbridge.lists import parse_list

MODEL_BY_LIST: dict[str, type[Any]] = {
    "guests": ClientAccountList,
    "plans": PlanList,
    "services": ServiceList,
    "vms": VmList,
}
CLIENT_ACCOUNT: dict[str, object] = {"name": "a", "plan": "p", "prefixes": ["192.0.2.0/24"]}
VM: dict[str, object] = {
    "name": "a",
    "role": "balancer",
    "failure_domain": "f",
    "region": "r",
    "address": "192.0.2.1:1",
    "control_address": "192.0.2.1:2",
}
KEY: dict[str, object] = {"number": 1, "key": "0f" * 16, "current": True}
INTERNAL_NAMES = (
    "lax",
    "function-",
    "pydantic",
    "type=",
    "loc",
    "IPv4Network",
    "int_parsing",
    "Tuple",
    "tuple",
)


def faults(name: str, content: object) -> list[ListProblem]:
    with pytest.raises(InvalidListError) as caught:
        parse_list(name, json.dumps(content), MODEL_BY_LIST[name])
    return caught.value.problems


def client_accounts(**changes: object) -> dict[str, object]:
    return {"default_plan": "p", "guests": [{**CLIENT_ACCOUNT, **changes}]}


def vms(**changes: object) -> dict[str, object]:
    return {"vms": [{**VM, **changes}]}


class TestMessages:
    @pytest.mark.parametrize(
        ("name", "content", "path"),
        [
            ("guests", client_accounts(prefixes=["300.1.1.1/40"]), "guests.guests[0].prefixes[0]"),
            ("guests", client_accounts(prefixes=[{}]), "guests.guests[0].prefixes[0]"),
            ("guests", client_accounts(prefixes="192.0.2.0/24"), "guests.guests[0].prefixes"),
            ("guests", client_accounts(name=""), "guests.guests[0].name"),
            ("guests", client_accounts(token_sha256="zz"), "guests.guests[0].token_sha256"),
            ("guests", client_accounts(more=1), "guests.guests[0].more"),
            ("guests", {"guests": []}, "guests.default_plan"),
            ("guests", [], "guests"),
            ("plans", {"plans": []}, "plans.plans"),
            ("vms", vms(role="entry"), "vms.vms[0].role"),
            ("vms", vms(address="nowhere"), "vms.vms[0].address"),
            ("vms", vms(slots=0), "vms.vms[0].slots"),
            ("vms", vms(slots="many"), "vms.vms[0].slots"),
            ("vms", vms(region=None), "vms.vms[0].region"),
            ("vms", vms(role="agent"), "vms.vms[0]"),
            (
                "services",
                {"routing_keys": [{**KEY, "current": "perhaps"}], "services": []},
                "services.routing_keys[0].current",
            ),
            (
                "services",
                {"routing_keys": [{**KEY, "key": "short"}], "services": []},
                "services.routing_keys[0].key",
            ),
            (
                "plans",
                {"plans": [{"name": "a", "services": ["x"], "ceiling": 2}]},
                "plans.plans[0].ceiling",
            ),
            (
                "plans",
                {"plans": [{"name": "a", "services": ["x"], "requests_per_s": "fast"}]},
                "plans.plans[0].requests_per_s",
            ),
        ],
    )
    def test_one_line_reports_the_path_without_internal_names(
        self, name: str, content: object, path: str
    ) -> None:
        # Guards against messages with internals of the validator: an invalid prefix caused two
        # errors whose paths contained the alternatives that were tried.
        [problem] = faults(name, content)
        assert problem.path == path
        assert not any(internal_name in str(problem) for internal_name in INTERNAL_NAMES)
        assert "\n" not in str(problem)

    def test_the_value_is_shown(self) -> None:
        # Guards against messages without the faulty value, which would have to be searched for in a
        # long list.
        [problem] = faults("guests", client_accounts(prefixes=["300.1.1.1/40"]))
        assert str(problem).startswith('guests.guests[0].prefixes[0]: "300.1.1.1/40": ')

    def test_a_long_value_is_truncated(self) -> None:
        # Guards against lines that are too long for a terminal.
        [problem] = faults("guests", client_accounts(prefixes=["x" * 10_000]))
        assert len(str(problem)) < 300

    def test_secrets_are_not_shown(self) -> None:
        # Guards against keys in the output of a command or in a log.
        secret = "not-hexadecimal-but-secret"
        [problem] = faults("services", {"routing_keys": [{**KEY, "key": secret}], "services": []})
        assert secret not in str(problem)
