from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from laburnumbridge.cli import application
from laburnumbridge.cli.application import run

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

    from laburnumbridge.cli.fleet import FleetOpener

EXPLAIN = ["explain", "plan", "benches"]
BURN = ["report", "burn"]


class TestFleetCommands:
    @pytest.mark.parametrize(
        "arguments",
        [["status"], ["status", "--json"], EXPLAIN, BURN, [*BURN, "--format", "json"]],
        ids=" ".join,
    )
    def test_output(
        self,
        arguments: list[str],
        opener: FleetOpener,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        snapshot: SnapshotAssertion,
    ) -> None:
        monkeypatch.setattr(application, "GrpcFleetOpener", lambda options: opener)
        assert run(arguments) == 0
        assert capsys.readouterr().out == snapshot

    @pytest.mark.parametrize("arguments", [["status"], EXPLAIN, BURN], ids=" ".join)
    def test_no_answer_at_all_is_status_3(
        self,
        arguments: list[str],
        unresponsive_opener: FleetOpener,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        # Guards against a status from which a script concludes that an unreachable fleet is idle.
        monkeypatch.setattr(application, "GrpcFleetOpener", lambda options: unresponsive_opener)
        assert run(arguments) == 3
        assert "none of 4 processes answered" in capsys.readouterr().err
