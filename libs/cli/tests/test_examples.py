from __future__ import annotations

import re
from collections import Counter
from pathlib import Path

import pytest

from laburnumbridge.cli.application import run
from laburnumbridge.lists import ServiceList
from laburnumbridge.lists import VmList
from laburnumbridge.lists import parse_list

EXAMPLES = Path(__file__).parents[3] / "examples"
DOCUMENTATION = re.compile(r"^(192\.0\.2|198\.51\.100|203\.0\.113|127\.0\.0)\.")
DOMAINS = {
    "swan-coast": {"welshpool", "osborne", "midland", "fremantle"},
    "chiemgau": {"chiemsee", "tegernsee", "ammersee"},
}
REGIONS = {"swan-coast": "perth", "chiemgau": "upper-bavaria"}
# Number of upstreams, and slots and connections of each, as the design page states them.
SIZES = {
    "swan-coast": {"workshop-desk": (7, 4, 2000), "certificate-store": (4, 4, 2000)},
    "chiemgau": {"steg": (7, 3, 2000), "mappe": (3, 3, 2000)},
}
STREAMS = {
    "swan-coast": {"workshop-desk": ("/readings",), "certificate-store": ()},
    "chiemgau": {"steg": ("/status",), "mappe": ()},
}


@pytest.mark.parametrize("user", sorted(SIZES))
class TestExamples:
    @pytest.mark.parametrize("role", ["agent", "balancer"])
    def test_check_finds_nothing(
        self, user: str, role: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        folder = EXAMPLES / user
        arguments = ["check", "--settings", str(folder / f"{role}.json"), "--role", role]
        for name in ("services", "guests", "plans", "vms"):
            arguments += [f"--{name}", str(folder / f"{name}.json")]
        assert run(arguments) == 0
        assert capsys.readouterr().out == "0 errors, 0 warnings\n"

    def test_sizes_are_those_of_the_design(self, user: str) -> None:
        vms = parse_list("vms", (EXAMPLES / user / "vms.json").read_bytes(), VmList)
        counts = Counter((vm.service, vm.slots, vm.connections) for vm in vms.agents)
        sizes = {name: (count, *size) for (name, *size), count in counts.items()}
        assert sizes == SIZES[user]
        assert {vm.failure_domain for vm in vms.vms} == DOMAINS[user]
        assert {vm.region for vm in vms.vms} == {REGIONS[user]}
        services = parse_list(
            "services", (EXAMPLES / user / "services.json").read_bytes(), ServiceList
        )
        assert {s.name: s.streams for s in services.services} == STREAMS[user]

    def test_addresses_are_reserved_for_documentation(self, user: str) -> None:
        # Guards against a copied example that connects to addresses of a real network.
        for file in (EXAMPLES / user).glob("*.json"):
            addresses = re.findall(r"\d+\.\d+\.\d+\.\d+", file.read_text())
            assert [a for a in addresses if not DOCUMENTATION.match(a)] == []
