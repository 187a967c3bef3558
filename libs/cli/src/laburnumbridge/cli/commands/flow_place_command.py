"""``laburnumbridge flow place``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import typer
from rich.table import Table

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.cli.output import make_console
from laburnumbridge.cli.output import to_json
from laburnumbridge.cli.placement_reader import read_placement
from laburnumbridge.forwarding.forwarding_settings import load_forwarding_settings

if TYPE_CHECKING:
    from pathlib import Path

    from laburnumbridge.flows import ScoredCandidate
    from laburnumbridge.forwarding.placement_explanation import PlacementExplanation

_TEXT_COLUMNS = ("agent", "domain", "state")
_FIGURE_COLUMNS = (
    "slots",
    "busy",
    "pending",
    "flows",
    "speed",
    "wait ms",
    "work ms",
    "demand",
    "age s",
    "score",
)


class FlowPlaceCommand(Command):
    """Shows where a running balancer would send an opening packet, which isn't sent."""

    def __init__(self, *, settings: Path, flow: str, as_json: bool) -> None:
        self._settings = settings
        self._flow = flow
        self._as_json = as_json

    def run(self) -> None:
        """Print the explanation.

        Raises InvalidSettingsError, NotABalancerError, PlacementQueryRejectedError and
        NoPlacementAnswerError.
        """
        explanation = read_placement(load_forwarding_settings(self._settings), self._flow)
        if self._as_json:
            typer.echo(to_json(explanation))
            return
        console = make_console()
        for line in describe_placement(explanation):
            console.print(line, markup=False)
        if explanation.candidates or explanation.excluded:
            console.print(build_candidate_table(explanation))


def describe_placement(explanation: PlacementExplanation) -> list[str]:
    """Return the lines above the table: choice, class of the route and service."""
    choice = f"{explanation.outcome} at {explanation.agent}" if explanation.agent else "reset"
    if not explanation.agent:
        choice += f" ({explanation.outcome})"
    age_s = explanation.view_age_s
    view = "not confirmed" if age_s is None else f"{age_s:g} s old"
    lines = [
        f"Flow: {explanation.flow}",
        f"Choice of {explanation.process}: {choice}; its view is {view}",
    ]
    if not explanation.route:
        return lines
    kind = "long flow" if explanation.is_long else "one request"
    target = explanation.target_latency_ms
    lines.append(
        f"Route: {explanation.route} ({kind}, priority {explanation.priority}, "
        f"target {f'{target} ms' if target else 'none'})"
    )
    selected = explanation.selected_service
    overflow = "" if explanation.service == selected else f", sent to {explanation.service}"
    lines.append(f"Service: {selected} by hash{overflow}; its upstreams are {explanation.method}")
    return lines


def build_candidate_table(explanation: PlacementExplanation) -> Table:
    """Return the candidates, best first, and the excluded upstreams as a table."""
    table = Table()
    for column in _TEXT_COLUMNS:
        table.add_column(column, overflow="fold")
    for column in _FIGURE_COLUMNS:
        table.add_column(column, justify="right")
    for candidate in explanation.candidates:
        states = ["chosen"] if candidate.agent == explanation.agent else []
        states += ["cold"] if candidate.is_cold else []
        states += candidate.avoided
        table.add_row(
            candidate.agent,
            candidate.failure_domain,
            ", ".join(states),
            *("-" if figure is None else f"{figure:.4g}" for figure in _figures(candidate)),
        )
    for upstream in explanation.excluded:
        table.add_row(upstream.agent, upstream.failure_domain, f"excluded: {upstream.reason}")
    return table


def _figures(candidate: ScoredCandidate) -> tuple[float | None, ...]:
    """Return the figures of a row in the order of the columns."""
    return (
        candidate.slots,
        candidate.busy,
        candidate.pending,
        candidate.open_flows,
        candidate.speed,
        None if candidate.wait_s is None else candidate.wait_s * 1000,
        None if candidate.work_s is None else candidate.work_s * 1000,
        candidate.demand,
        candidate.report_age_s,
        candidate.score[0],
    )
