from __future__ import annotations

import pytest

from laburnumbridge.catalog import Catalog
from laburnumbridge.core import Event
from laburnumbridge.standins.flows.platform_stand_in import StandInPlatformCodec
from laburnumbridge.standins.flows.simulated_fleet import SimulatedFleet

ADDED = "10.2.0.9"


@pytest.fixture
def fleet(tmp_path):
    fleet = SimulatedFleet(directory=tmp_path)
    fleet.start()
    return fleet


def fail(*_arguments: object, **_options: object) -> None:
    raise ZeroDivisionError("unexpected")


class TestUnexpectedErrors:
    @pytest.mark.parametrize(
        ("subject", "method"),
        [
            (StandInPlatformCodec, "decode_watch"),
            (StandInPlatformCodec, "decode_listing"),
            (Catalog, "merge"),
        ],
    )
    def test_an_error_while_an_answer_is_handled_doesnt_end_the_reading(
        self, fleet, monkeypatch, subject, method
    ):
        # Guards against a process that never reads the platform again after one answer that it
        # can't handle: the call had ended, and no other was scheduled.
        with monkeypatch.context() as patches:
            patches.setattr(subject, method, fail)
            fleet.platform.put(fleet.entry(fleet.agents[0], is_draining=True))
            fleet.simulation.run_for(6.0)
        assert fleet.lines(Event.INTERNAL_ERROR)
        fleet.platform.put(fleet.entry(ADDED))
        fleet.simulation.run_for(3.0)
        for process in fleet.process_by_address.values():
            entries = process.view.catalog.entry_by_name.values()
            assert ADDED in {entry.address for entry in entries}
            assert [entry.address for entry in entries if entry.is_draining] == fleet.agents[:1]

    def test_an_error_while_an_update_takes_effect_doesnt_lose_it(self, fleet, monkeypatch):
        # Guards against changes that the reader has passed by when it goes on.
        reader = fleet.process_by_address[fleet.balancers[0]]
        with monkeypatch.context() as patches:
            patches.setattr(reader.view.catalog, "merge", fail)
            fleet.platform.unresponsive = {*fleet.balancers[1:], *fleet.agents}
            fleet.platform.put(fleet.entry(ADDED))
            fleet.simulation.run_for(0.1)
        fleet.simulation.run_for(3.0)
        entries = reader.view.catalog.entry_by_name.values()
        assert ADDED in {entry.address for entry in entries}
