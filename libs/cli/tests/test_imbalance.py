from __future__ import annotations

import pytest

from laburnumbridge.cli.imbalance import measure_services
from laburnumbridge.telemetry import UpstreamLoad


class TestImbalance:
    def test_upstreams_that_drain_are_left_out_of_maximum_and_mean(self) -> None:
        # Guards against reporting a planned drain as an imbalance of the placement.
        loads = [
            UpstreamLoad(upstream="a", service="steg", open_flows=10),
            UpstreamLoad(upstream="b", service="steg", open_flows=20),
            UpstreamLoad(upstream="c", service="steg", open_flows=900, accepting=False),
        ]
        (load,) = measure_services(loads)
        assert (load.open_flows, load.accepting) == (930, 2)
        assert load.flow_imbalance == pytest.approx(20 / 15)

    def test_an_idle_service_has_no_imbalance(self) -> None:
        (load,) = measure_services([UpstreamLoad(upstream="a", service="steg", open_flows=0)])
        assert load.flow_imbalance is None
