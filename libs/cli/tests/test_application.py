from __future__ import annotations

import importlib
import os
import pkgutil
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

import laburnumbridge
from laburnumbridge.cli.application import run
from laburnumbridge.cli.commands.status_command import StatusCommand
from laburnumbridge.cli.exit_status import ExitStatus
from laburnumbridge.cli.exit_status import render_exit_statuses
from laburnumbridge.core import LaburnumbridgeError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from syrupy.assertion import SnapshotAssertion

PAGE = Path(__file__).parents[3] / "docs" / "exit-codes.md"


def find_errors(base: type[LaburnumbridgeError]) -> Iterator[type[LaburnumbridgeError]]:
    yield base
    for error in base.__subclasses__():
        yield from find_errors(error)


class TestHelp:
    @pytest.mark.parametrize(
        "command", ["", "balancer", "agent", "check", "status", "explain", "report", "report burn"]
    )
    def test_help(
        self, command: str, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
    ) -> None:
        assert run([*command.split(), "--help"]) == 0
        assert capsys.readouterr().out == snapshot


class TestErrors:
    @pytest.mark.parametrize(
        "arguments",
        [
            [],
            ["report"],
            ["stats"],
            ["check"],
            ["check", "--services", "s", "--guests", "g", "--plans", "p", "--settings", "a"],
            ["status", "--bogus"],
            ["status", "--timeout", "soon"],
            ["explain", "guest", "x"],
            ["agent", "none.json"],
            ["status"],
            ["status", "--tls-certificate", "c", "--tls-key", "k", "--tls-authority", "a"],
        ],
    )
    def test_an_error_is_one_line_and_status_2(
        self,
        arguments: list[str],
        capsys: pytest.CaptureFixture[str],
        snapshot: SnapshotAssertion,
    ) -> None:
        assert run(arguments) == ExitStatus.INVALID_INPUT
        output = capsys.readouterr()
        assert output.out == ""
        assert output.err.count("\n") == 1
        assert output.err == snapshot

    def test_grpc_writes_no_lines_to_standard_error(self) -> None:
        # Guards against gRPC lines about failed handshakes between errors and JSON logs.
        assert "GRPC_VERBOSITY" in os.environ

    def test_ctrl_c_has_a_separate_status(self, monkeypatch: pytest.MonkeyPatch) -> None:
        def interrupt(self: StatusCommand) -> None:
            raise KeyboardInterrupt

        monkeypatch.setattr(StatusCommand, "run", interrupt)
        assert run(["status"]) == ExitStatus.INTERRUPTED


class TestCompletion:
    @pytest.mark.parametrize(
        ("words", "place", "expected"),
        [
            ("laburnumbridge ex", 1, ["explain"]),
            ("laburnumbridge explain fl", 2, ["flow"]),
            ("laburnumbridge report burn --format ", 4, ["table", "json"]),
        ],
    )
    def test_the_shell_receives_completions(
        self,
        words: str,
        place: int,
        expected: list[str],
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        monkeypatch.setenv("_LABURNUMBRIDGE_COMPLETE", "complete_bash")
        monkeypatch.setenv("COMP_WORDS", words)
        monkeypatch.setenv("COMP_CWORD", str(place))
        with pytest.raises(SystemExit) as ended:
            run([])
        assert ended.value.code == 0
        assert capsys.readouterr().out.split() == expected


class TestExitStatus:
    def test_the_page_matches_the_code(self) -> None:
        assert PAGE.read_text() == render_exit_statuses()

    def test_every_error_has_a_status_of_the_page(self) -> None:
        # Guards against an error whose status operators can't look up.
        for module in pkgutil.walk_packages(laburnumbridge.__path__, "laburnumbridge."):
            if module.name.endswith(".errors") and ".standins" not in module.name:
                importlib.import_module(module.name)
        statuses = {error: error.exit_code for error in find_errors(LaburnumbridgeError)}
        assert len(statuses) > 30
        assert set(statuses.values()) <= {1, 2, 3}
        assert set(statuses.values()) <= {status.value for status in ExitStatus}
