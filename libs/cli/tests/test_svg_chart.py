from __future__ import annotations

import xml.etree.ElementTree as ET

import pytest

from laburnumbridge.cli.svg_chart import Bar
from laburnumbridge.cli.svg_chart import Line
from laburnumbridge.cli.svg_chart import Mark
from laburnumbridge.cli.svg_chart import draw_bars
from laburnumbridge.cli.svg_chart import draw_lines

NAMESPACE = "{http://www.w3.org/2000/svg}"
EXTREMES = (-50.0, -1.0, 0.0, 1e-9, 1.0, 1e12)


def make_bar(value: float, label: str = "steg") -> Bar:
    return Bar(label=label, value=value, text=f"{value:g}")


def find(drawing: str, tag: str) -> list[ET.Element]:
    return list(ET.fromstring(drawing).iter(NAMESPACE + tag))


def check_inside(drawing: str) -> None:
    """Every shape lies within the view box, and no length is negative."""
    _, _, width, height = map(float, ET.fromstring(drawing).attrib["viewBox"].split())
    for element in ET.fromstring(drawing):
        attributes = element.attrib
        for name in ("x", "x1", "x2", "cx"):
            assert 0 <= float(attributes.get(name, 0)) <= width
        for name in ("y", "y1", "y2", "cy"):
            assert 0 <= float(attributes.get(name, 0)) <= height
        if "width" in attributes:
            assert 0 <= float(attributes["width"]) <= width - float(attributes["x"])
            assert float(attributes["height"]) <= height - float(attributes["y"])


class TestDrawBars:
    def test_lengths_are_proportional(self) -> None:
        drawing = draw_bars(title="t", bars=[make_bar(5.0), make_bar(10.0)])
        widths = [float(bar.attrib["width"]) for bar in find(drawing, "rect")]
        assert widths[1] == pytest.approx(2 * widths[0], abs=0.1)

    def test_bars_below_zero_end_at_the_axis(self) -> None:
        drawing = draw_bars(
            title="t", bars=[make_bar(-0.5), make_bar(0.5)], lowest=-1.0, highest=1.0
        )
        below, above = find(drawing, "rect")
        end = float(below.attrib["x"]) + float(below.attrib["width"])
        assert end == pytest.approx(float(above.attrib["x"]), abs=0.1)

    @pytest.mark.parametrize("lowest", [0.0, -1.0])
    def test_extreme_values_stay_inside(self, lowest: float) -> None:
        bars = [make_bar(value) for value in EXTREMES]
        check_inside(draw_bars(title="t", bars=bars, lowest=lowest, highest=1.0))
        check_inside(draw_bars(title="t", bars=bars, marks=[Mark(label="m", value=3)]))
        check_inside(draw_bars(title="t", bars=[make_bar(0.0)]))

    def test_names_are_escaped_and_long_ones_shortened(self) -> None:
        drawing = draw_bars(title='<"&', bars=[make_bar(1.0, label="<b>" + "x" * 80)])
        title, label, _ = find(drawing, "text")
        assert title.text == '<"&'
        assert (label[0].tail or "").endswith("x…")
        assert label[0].text == "<b>" + "x" * 80


class TestDrawLines:
    def test_each_line_has_a_point_for_each_position(self) -> None:
        lines = [Line(label="a", values=(0.0, 14.4)), Line(label="b", values=(1.0, 2.0))]
        drawing = draw_lines(
            title="t", positions=["5 min", "1 h"], lines=lines, marks=[Mark(label="m", value=14.4)]
        )
        check_inside(drawing)
        (mark,) = [line for line in find(drawing, "line") if line.attrib["class"] == "mark"]
        last = find(drawing, "circle")[1]
        assert float(last.attrib["cy"]) == pytest.approx(float(mark.attrib["y1"]), abs=0.1)
        assert len(find(drawing, "polyline")) == 2

    def test_extreme_values_stay_inside(self) -> None:
        positions = [str(value) for value in EXTREMES]
        check_inside(
            draw_lines(title="t", positions=positions, lines=[Line(label="a", values=EXTREMES)])
        )
        check_inside(draw_lines(title="t", positions=["5 min"], lines=[]))
