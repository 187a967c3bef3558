from __future__ import annotations

from pathlib import Path

from laburnumbridge.telemetry import Event
from laburnumbridge.telemetry import render_event_catalogue

PAGE = Path(__file__).parents[3] / "docs" / "events.md"


class TestEventCatalogue:
    def test_the_page_matches_the_code(self) -> None:
        # Guards against events that are missing from the operators' documentation.
        assert PAGE.read_text() == render_event_catalogue()

    def test_numbers_are_unique(self) -> None:
        assert len({event.number for event in Event}) == len(Event)
