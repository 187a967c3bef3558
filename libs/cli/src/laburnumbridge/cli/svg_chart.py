"""Bar and line charts as inline SVG, so that the shipped program needs no plotting library."""

from __future__ import annotations

from dataclasses import dataclass
from html import escape
from math import log10
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

# Lengths in pixels of the drawing, which the page scales to its own width.
WIDTH = 720
TITLE_HEIGHT = 46
LABEL_WIDTH = 290
VALUE_WIDTH = 90
ROW_HEIGHT = 24
BAR_HEIGHT = 16
PLOT_HEIGHT = 220
MARGIN = 12
# About 6.5 pixels a character at a font size of 12.
LABEL_CHARACTERS = 44

# Palette of Okabe and Ito, distinguishable with the common kinds of colour blindness.
COLOURS = ("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9")
BAD_COLOUR = "#d55e00"
_TICKS = (0.0, 1.0, 10.0, 100.0, 1000.0, 10_000.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Bar:
    """A bar with the text beside it; ``bad`` marks a missed target."""

    label: str
    value: float
    text: str
    bad: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """A dashed line at a value, such as a target."""

    label: str
    value: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """A line with one value for each position."""

    label: str
    values: tuple[float, ...]


def draw_bars(
    *,
    title: str,
    bars: Sequence[Bar],
    marks: Sequence[Mark] = (),
    lowest: float = 0.0,
    highest: float | None = None,
) -> str:
    """Return horizontal bars from zero; values are clamped to ``lowest`` and ``highest``.

    Without ``highest``, the scale ends at the largest value or mark.
    """
    if highest is None:
        highest = max([bar.value for bar in bars] + [mark.value for mark in marks], default=0.0)
    scale = _BarScale(lowest=min(lowest, 0.0), highest=max(highest, lowest + 1e-9, 1e-9))
    height = TITLE_HEIGHT + max(len(bars), 1) * ROW_HEIGHT + MARGIN
    parts = [_text(MARGIN, 20, title, css="title")]
    if not bars:
        parts.append(_text(MARGIN, TITLE_HEIGHT + BAR_HEIGHT, "nothing recorded", css="muted"))
    for row, bar in enumerate(bars):
        parts.extend(_bar(bar, TITLE_HEIGHT + row * ROW_HEIGHT, scale))
    if bars:
        parts.append(_vertical_line(scale.x(0.0), TITLE_HEIGHT - 4, height - MARGIN, css="axis"))
        parts.extend(_bar_marks(marks, scale, height - MARGIN))
    return _svg(title, height, parts)


def draw_lines(
    *,
    title: str,
    positions: Sequence[str],
    lines: Sequence[Line],
    marks: Sequence[Mark] = (),
) -> str:
    """Return lines over evenly spaced positions, with a legend below.

    The vertical scale is the logarithm of one plus the value, because a burn rate may reach
    1,000 while the thresholds are near 10. Values below zero are drawn at zero.
    """
    values = [value for line in lines for value in line.values] + [mark.value for mark in marks]
    highest = max([*values, 1.0]) * 1.1
    bottom = TITLE_HEIGHT + PLOT_HEIGHT
    height = bottom + 2 * MARGIN + 16 + max(len(lines), 1) * ROW_HEIGHT
    parts = [_text(MARGIN, 20, title, css="title")]
    parts.extend(_grid(highest))
    parts.extend(_line_marks(marks, highest))
    parts.extend(_positions(positions, bottom))
    for index, line in enumerate(lines):
        parts.extend(_line(line, index, len(positions), highest, bottom))
    if not lines:
        parts.append(_text(MARGIN, height - MARGIN, "nothing recorded", css="muted"))
    return _svg(title, height, parts)


@dataclass(frozen=True, kw_only=True, slots=True)
class _BarScale:
    lowest: float
    highest: float

    def x(self, value: float) -> float:
        """Return the horizontal position in pixels of a value, clamped to the range."""
        clamped = min(max(value, self.lowest), self.highest)
        left = MARGIN + LABEL_WIDTH
        span = WIDTH - left - VALUE_WIDTH - MARGIN
        return left + span * (clamped - self.lowest) / (self.highest - self.lowest)


def _bar(bar: Bar, top: int, scale: _BarScale) -> Iterator[str]:
    left, right = sorted((scale.x(0.0), scale.x(bar.value)))
    colour = BAD_COLOUR if bar.bad else COLOURS[0]
    baseline = top + BAR_HEIGHT - 4
    yield _text(MARGIN, baseline, _shorten(bar.label), css="label", tooltip=bar.label)
    yield (
        f'<rect x="{left:.1f}" y="{top}" width="{right - left:.1f}" height="{BAR_HEIGHT}" '
        f'fill="{colour}"/>'
    )
    yield _text(WIDTH - MARGIN, baseline, bar.text, css="label", anchor="end")


def _bar_marks(marks: Sequence[Mark], scale: _BarScale, bottom: int) -> Iterator[str]:
    for mark in marks:
        x = scale.x(mark.value)
        yield _vertical_line(x, TITLE_HEIGHT - 4, bottom, css="mark")
        yield _text(x, TITLE_HEIGHT - 8, mark.label, css="muted", anchor="middle")


def _plot_x(index: int, count: int) -> float:
    left = MARGIN + 50
    span = WIDTH - left - VALUE_WIDTH - MARGIN
    return left + span * index / max(count - 1, 1)


def _plot_y(value: float, highest: float) -> float:
    share = log10(1 + max(value, 0.0)) / log10(1 + highest)
    return TITLE_HEIGHT + PLOT_HEIGHT * (1 - share)


def _grid(highest: float) -> Iterator[str]:
    for tick in _TICKS:
        if tick > highest:
            return
        y = _plot_y(tick, highest)
        yield _horizontal_line(y, css="grid")
        yield _text(MARGIN + 42, y + 4, f"{tick:g}", css="label", anchor="end")


def _line_marks(marks: Sequence[Mark], highest: float) -> Iterator[str]:
    for mark in marks:
        y = _plot_y(mark.value, highest)
        yield _horizontal_line(y, css="mark")
        yield _text(WIDTH - MARGIN, y + 4, mark.label, css="muted", anchor="end")


def _positions(positions: Sequence[str], bottom: int) -> Iterator[str]:
    for index, position in enumerate(positions):
        x = _plot_x(index, len(positions))
        yield _text(x, bottom + 18, position, css="label", anchor="middle")


def _line(line: Line, index: int, count: int, highest: float, bottom: int) -> Iterator[str]:
    colour = COLOURS[index % len(COLOURS)]
    coordinates = [
        (_plot_x(position, count), _plot_y(value, highest))
        for position, value in enumerate(line.values)
    ]
    points = " ".join(f"{x:.1f},{y:.1f}" for x, y in coordinates)
    yield f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="2"/>'
    for x, y in coordinates:
        yield f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3.5" fill="{colour}"/>'
    top = bottom + 2 * MARGIN + 10 + index * ROW_HEIGHT
    yield f'<rect x="{MARGIN + 50}" y="{top}" width="14" height="14" fill="{colour}"/>'
    yield _text(MARGIN + 72, top + 12, line.label, css="label")


def _vertical_line(x: float, top: int, bottom: int, *, css: str) -> str:
    return f'<line x1="{x:.1f}" y1="{top}" x2="{x:.1f}" y2="{bottom}" class="{css}"/>'


def _horizontal_line(y: float, *, css: str) -> str:
    right = WIDTH - VALUE_WIDTH - MARGIN
    return f'<line x1="{MARGIN + 50}" y1="{y:.1f}" x2="{right}" y2="{y:.1f}" class="{css}"/>'


def _text(
    x: float, y: float, content: str, *, css: str, anchor: str = "start", tooltip: str = ""
) -> str:
    title = f"<title>{escape(tooltip)}</title>" if tooltip and tooltip != content else ""
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" class="{css}">'
        f"{title}{escape(content)}</text>"
    )


def _shorten(label: str) -> str:
    return label if len(label) <= LABEL_CHARACTERS else label[: LABEL_CHARACTERS - 1] + "…"


def _svg(title: str, height: int, parts: Sequence[str]) -> str:
    body = "\n".join(parts)
    return (
        f'<svg viewBox="0 0 {WIDTH} {height}" role="img" aria-label="{escape(title)}" '
        f'xmlns="http://www.w3.org/2000/svg">\n{body}\n</svg>'
    )
