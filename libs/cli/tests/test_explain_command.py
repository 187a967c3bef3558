from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from laburnumbridge.cli.commands.explain_command import ExplainCommand
from laburnumbridge.cli.errors import NoDecisionsError
from laburnumbridge.telemetry import SubjectKind

if TYPE_CHECKING:
    from laburnumbridge.cli.fleet import FleetOpener


def make_command(opener: FleetOpener) -> ExplainCommand:
    return ExplainCommand(
        opener=opener, kind=SubjectKind.PLAN, identifier="benches", limit=2, as_json=True
    )


class TestExplainCommand:
    def test_the_newest_decisions_are_kept(
        self, opener: FleetOpener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        make_command(opener).run()
        content = json.loads(capsys.readouterr().out)
        kept = [item["decision"]["subjects"]["request"] for item in content["decisions"]]
        assert kept == ["workshop-desk-1/2", "workshop-desk-2/2"]
        assert content["omitted"] == 4
        assert [process["name"] for process in content["silent"]] == ["certificate-store-2"]

    def test_no_decisions_is_an_error_that_counts_unresponsive_processes(
        self, opener_without_decisions: FleetOpener
    ) -> None:
        # Guards against reporting an unresponsive process as one without decisions.
        with pytest.raises(NoDecisionsError, match=r"plan benches \(1 did not answer\)"):
            make_command(opener_without_decisions).run()
