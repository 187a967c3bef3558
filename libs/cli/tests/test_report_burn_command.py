from __future__ import annotations

import re
from typing import TYPE_CHECKING

import pytest

from laburnumbridge.cli.burn_figures import BurnFiguresBuilder
from laburnumbridge.cli.burn_page import render_burn_page
from laburnumbridge.cli.commands.report_burn_command import ReportBurnCommand
from laburnumbridge.cli.errors import FileNotWritableError
from laburnumbridge.cli.unresponsive_process import UnresponsiveProcess
from laburnumbridge.telemetry import MetricRegistry
from laburnumbridge.telemetry import Outcome
from laburnumbridge.telemetry import ProcessFacts
from laburnumbridge.telemetry import SeriesKey
from laburnumbridge.telemetry import take_snapshot

if TYPE_CHECKING:
    from pathlib import Path

    from syrupy.assertion import SnapshotAssertion

    from laburnumbridge.cli.fleet import FleetOpener
    from laburnumbridge.telemetry import ProcessSnapshot


def make_snapshot(*, now: float, service: str = "steg") -> ProcessSnapshot:
    registry = MetricRegistry()
    registry.record_request(
        SeriesKey(service, "public"), Outcome.CUT, latency_s=1, objective_ms=250, now=now
    )
    facts = ProcessFacts(name="a", role="agent", region="r", failure_domain="<f>", started_at=0)
    return take_snapshot(registry=registry, facts=facts, now=now)


class TestReportBurnCommand:
    def test_page(self, opener: FleetOpener, tmp_path: Path, snapshot: SnapshotAssertion) -> None:
        page = tmp_path / "burn.html"
        ReportBurnCommand(opener=opener, html=page).run()
        assert page.read_text() == snapshot

    def test_a_page_that_cannot_be_written_is_a_typed_error(
        self, opener: FleetOpener, tmp_path: Path
    ) -> None:
        with pytest.raises(FileNotWritableError, match="choose another path"):
            ReportBurnCommand(opener=opener, html=tmp_path / "none" / "burn.html").run()


class TestBurnFigures:
    def test_a_process_with_a_wrong_clock_does_not_move_the_windows(self) -> None:
        builder = BurnFiguresBuilder(services=None)
        for now in (600.0, 601.0, 900_000.0):
            builder.add(make_snapshot(now=now))
        figures = builder.build()
        assert figures.at == 601.0
        assert figures.lines[0].total == 2

    def test_a_service_that_is_not_listed_is_named(self) -> None:
        builder = BurnFiguresBuilder(services=None)
        builder.add(make_snapshot(now=600.0))
        assert builder.build().unlisted_services == ("steg",)


class TestBurnPage:
    def test_nothing_is_loaded_and_names_are_escaped(self) -> None:
        # Guards against markup in names or reasons of a process that sends bad snapshots.
        builder = BurnFiguresBuilder(services=None)
        builder.add(make_snapshot(now=600.0, service="<script>alert(1)</script>"))
        builder.add_unresponsive(
            UnresponsiveProcess(name="<b>", address="192.0.2.1:1", reason="<img src=x>")
        )
        page = render_burn_page(builder.build())
        assert not re.search(r"<(script|img|link|b|f)\b", page)
        assert not re.search(r"(src|href)=|url\(|@import", page.replace("&lt;img src=x&gt;", ""))

    def test_a_fleet_without_figures_gives_a_page(self) -> None:
        page = render_burn_page(BurnFiguresBuilder(services=None).build())
        assert page.count("nothing recorded") == 5
