"""The burn report as a self-contained HTML page."""

from __future__ import annotations

from html import escape
from typing import TYPE_CHECKING

from laburnumbridge.cli.burn_tables import format_window
from laburnumbridge.cli.imbalance import IMBALANCE_TARGET
from laburnumbridge.cli.output import format_time
from laburnumbridge.cli.svg_chart import Bar
from laburnumbridge.cli.svg_chart import Line
from laburnumbridge.cli.svg_chart import Mark
from laburnumbridge.cli.svg_chart import draw_bars
from laburnumbridge.cli.svg_chart import draw_lines
from laburnumbridge.telemetry import ALERT_RULES
from laburnumbridge.telemetry import WINDOW_MINUTES

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from laburnumbridge.cli.burn_figures import BurnFigures
    from laburnumbridge.telemetry import BurnLine

# More bars or lines make a chart unreadable; the table below the charts lists all burn lines.
MAX_BARS = 20
MAX_LINES = 6
# The bar of an overspent budget is clamped at -100 %; the text beside it has the full value.
LOWEST_BUDGET = -1.0

_STYLE = """\
body { font: 15px/1.45 system-ui, sans-serif; color: #222; background: #fff; margin: 2rem auto;
  max-width: 62rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin: 0; }
svg { display: block; width: 100%; max-width: 46rem; margin: 1.2rem 0; }
svg text { font: 12px system-ui, sans-serif; fill: #222; }
svg text.title { font-size: 15px; font-weight: 600; }
svg text.muted, .muted { fill: #666; color: #666; }
svg .axis { stroke: #222; }
svg .grid { stroke: #ddd; }
svg .mark { stroke: #666; stroke-dasharray: 5 4; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-size: 13px; }
th, td { padding: .25rem .6rem; border-bottom: 1px solid #ddd; text-align: right; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
.alert { color: #a33c00; font-weight: 600; }"""


def render_burn_page(figures: BurnFigures) -> str:
    """Return the page; all names in it are escaped."""
    parts = [
        "<h1>Service-level burn</h1>",
        f'<p class="muted">{format_time(figures.at)} UTC · {figures.answered} processes answered, '
        f"{len(figures.silent)} did not</p>",
        _alerts(figures.lines),
        _budget_chart(figures.lines),
        _burn_chart(figures.lines),
        _broken_flows_chart(figures),
        _imbalance_chart(figures),
        _refusals_chart(figures),
        _burn_table(figures.lines),
        _unresponsive_table(figures),
    ]
    body = "\n".join(part for part in parts if part)
    return (
        '<!doctype html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        '<meta name="viewport" content="width=device-width, initial-scale=1">\n'
        f"<title>Service-level burn</title>\n<style>\n{_STYLE}\n</style>\n</head>\n"
        f"<body>\n{body}\n</body>\n</html>\n"
    )


def _alerts(lines: Sequence[BurnLine]) -> str:
    firing = [line for line in lines if line.alerts]
    if not firing:
        return "<p>No alert fires.</p>"
    items = "".join(
        f"<li>{escape(_line_label(line))}: {escape(', '.join(line.alerts))}</li>" for line in firing
    )
    return f'<p class="alert">Alerts</p><ul>{items}</ul>'


def _budget_chart(lines: Sequence[BurnLine]) -> str:
    ordered = sorted(lines, key=lambda line: line.budget_left)[:MAX_BARS]
    bars = [
        Bar(
            label=_line_label(line),
            value=line.budget_left,
            text=f"{line.budget_left:.1%}",
            bad=line.budget_left < 0,
        )
        for line in ordered
    ]
    title = _count_title("Error budget left over 6 h, drawn down to -100 %", len(bars), len(lines))
    return draw_bars(title=title, bars=bars, lowest=LOWEST_BUDGET, highest=1.0)


def _burn_chart(lines: Sequence[BurnLine]) -> str:
    shown = lines[:MAX_LINES]
    return draw_lines(
        title=_count_title("Burn rate by window", len(shown), len(lines)),
        positions=[format_window(minutes) for minutes in WINDOW_MINUTES],
        lines=[
            Line(
                label=_line_label(line),
                values=tuple(line.burn_by_window[minutes] for minutes in WINDOW_MINUTES),
            )
            for line in shown
        ],
        marks=[
            Mark(label=f"{rule.severity} {rule.threshold:g}", value=rule.threshold)
            for rule in ALERT_RULES
        ],
    )


def _broken_flows_chart(figures: BurnFigures) -> str:
    counts = figures.broken_flows_by_domain.items()
    bars = [Bar(label=name, value=count, text=str(count), bad=count > 0) for name, count in counts]
    return draw_bars(title="Broken flows by failure domain", bars=bars[:MAX_BARS])


def _imbalance_chart(figures: BurnFigures) -> str:
    bars = [
        Bar(
            label=f"{load.service} {what}",
            value=ratio,
            text=f"{ratio:.3f}",
            bad=is_target and ratio > IMBALANCE_TARGET,
        )
        for load in figures.services
        for what, ratio, is_target in (
            ("open flows", load.flow_imbalance, True),
            ("busy slots", load.slot_imbalance, False),
        )
        if ratio is not None
    ]
    mark = Mark(label=f"target {IMBALANCE_TARGET:.2f}", value=IMBALANCE_TARGET)
    title = "Imbalance (maximum / mean over upstreams)"
    return draw_bars(title=title, bars=bars[:MAX_BARS], marks=[mark])


def _refusals_chart(figures: BurnFigures) -> str:
    counts = figures.refusals_by_reason.items()
    bars = [Bar(label=reason, value=count, text=str(count)) for reason, count in counts]
    return draw_bars(title="Refusals by reason", bars=bars)


def _burn_table(lines: Sequence[BurnLine]) -> str:
    windows = [format_window(minutes) for minutes in WINDOW_MINUTES]
    head = ("Service", "Plan", "Objective", "Target", "Requests", "Bad", "Left", *windows)
    rows = "\n".join(_row("td", cells) for cells in map(_cells, lines))
    return f'<div class="scroll"><table>\n{_row("th", head)}\n{rows}\n</table></div>'


def _cells(line: BurnLine) -> Iterator[str]:
    yield from (line.service, line.plan, line.objective, f"{line.target:.2%}")
    yield from (str(line.total), str(line.bad), f"{line.budget_left:.1%}")
    yield from (f"{line.burn_by_window[minutes]:.2f}" for minutes in WINDOW_MINUTES)


def _unresponsive_table(figures: BurnFigures) -> str:
    if not figures.silent:
        return ""
    rows = "\n".join(
        _row("td", (process.name, process.address, process.reason)) for process in figures.silent
    )
    head = _row("th", ("Process", "Control address", "Reason"))
    return f"<h2>No answer from {len(figures.silent)}</h2>\n<table>\n{head}\n{rows}\n</table>"


def _row(tag: str, cells: Iterable[str]) -> str:
    content = "".join(f"<{tag}>{escape(cell)}</{tag}>" for cell in cells)
    return f"<tr>{content}</tr>"


def _line_label(line: BurnLine) -> str:
    return f"{line.service} / {line.plan} / {line.objective}"


def _count_title(title: str, shown: int, total: int) -> str:
    return f"{title} (worst {shown} of {total})" if shown < total else title
