from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import pytest

from laburnumbridge.cli.application import run
from laburnumbridge.cli.file_checks import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

EXAMPLE = Path(__file__).parents[3] / "examples" / "swan-coast"
DESK = {"name": "workshop-desk", "number": 1, "address": "203.0.113.10:443"}
KEY = {"number": 1, "key": "0f" * 16, "current": True}
PLAN = {"name": "public", "services": ["workshop-desk"], "concurrent_requests": 9}
SETTINGS = json.loads((EXAMPLE / "agent.json").read_bytes())
LISTED = json.loads((EXAMPLE / "vms.json").read_bytes())["vms"]
VM = next(vm for vm in LISTED if vm["name"] == SETTINGS["name"])
LISTS = ["--services", "services.json", "--guests", "guests.json", "--plans", "plans.json"]


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    monkeypatch.chdir(tmp_path)
    write(tmp_path, "services", {"routing_keys": [KEY], "services": [DESK]})
    write(tmp_path, "guests", {"default_plan": "public"})
    write(tmp_path, "plans", {"plans": [PLAN]})
    write(tmp_path, "vms", {"vms": [VM]})
    return tmp_path


def write(folder: Path, name: str, content: dict[str, Any]) -> None:
    (folder / f"{name}.json").write_text(json.dumps(content))


class TestCheckCommand:
    def test_a_limit_beyond_the_capacity_is_a_warning(
        self, folder: Path, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
    ) -> None:
        assert run(["check", *LISTS, "--vms", "vms.json", "--json"]) == 0
        assert capsys.readouterr().out == snapshot

    def test_faults_of_all_files_are_reported(
        self, folder: Path, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
    ) -> None:
        # Guards against a check that stops at the first file with a fault.
        write(folder, "guests", {"default_plan": 7, "guests": [{"name": "g", "plan": "public"}]})
        (folder / "plans.json").write_text("{")
        write(folder, "agent", {**SETTINGS, "slots": 3, "service": "steg", "failure_domain": "x"})
        settings = ["--settings", "agent.json", "--role", "agent", "--vms", "vms.json"]
        assert run(["check", *LISTS, *settings]) == 2
        assert tuple(capsys.readouterr()) == snapshot

    def test_settings_that_match_the_lists_are_fine(
        self, folder: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        write(folder, "agent", SETTINGS)
        settings = ["--settings", "agent.json", "--role", "agent"]
        assert run(["check", *LISTS, *settings]) == 0
        assert capsys.readouterr().out == "0 errors, 0 warnings\n"

    @pytest.mark.parametrize(
        ("changes", "status", "message"),
        [
            ({"role": "balancer"}, 2, "is a balancer"),
            ({"name": "other"}, 0, "has no VM 'workshop-desk-1'"),
        ],
    )
    def test_a_process_listed_in_another_role_or_not_yet_is_reported(
        self,
        folder: Path,
        capsys: pytest.CaptureFixture[str],
        changes: dict[str, str],
        status: int,
        message: str,
    ) -> None:
        write(folder, "vms", {"vms": [{**VM, **changes}]})
        write(folder, "own", SETTINGS)
        settings = ["--settings", "own.json", "--role", "agent", "--vms", "vms.json"]
        assert run(["check", *LISTS, *settings]) == status
        assert message in capsys.readouterr().out

    @pytest.mark.parametrize("missing", ["services", "guests", "plans", "vms", "own"])
    def test_a_missing_file_is_named_with_reason_and_next_step(
        self, folder: Path, capsys: pytest.CaptureFixture[str], missing: str
    ) -> None:
        write(folder, "own", SETTINGS)
        (folder / f"{missing}.json").unlink()
        options = ["--vms", "vms.json", "--settings", "own.json", "--role", "agent"]
        assert run(["check", *LISTS, *options]) == 2
        message = capsys.readouterr().err
        assert f"{missing}.json: No such file or directory; check" in message
        assert message.count("\n") == 1

    def test_a_value_larger_than_the_platform_holds_is_an_error(
        self, folder: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        (folder / "guests.json").write_text('{"default_plan": "public"}' + " " * MAX_VALUE_BYTES)
        assert run(["check", *LISTS]) == 2
        assert "more than the platform holds" in capsys.readouterr().out
