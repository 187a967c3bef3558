"""``laburnumbridge bench``."""

from __future__ import annotations

import json
from importlib.metadata import entry_points
from typing import TYPE_CHECKING

import typer

from laburnumbridge.cli.commands.command import Command
from laburnumbridge.cli.errors import UnknownBenchmarkError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from laburnumbridge.cli.benchmark import Benchmark
    from laburnumbridge.cli.benchmark import Figure

ENTRY_POINT_GROUP = "laburnumbridge.benchmarks"


class BenchCommand(Command):
    """Runs benchmarks and merges their figures into a JSON file."""

    def __init__(self, *, output: Path, only: Sequence[str]) -> None:
        self._output = output
        self._only = tuple(only)

    def run(self) -> None:
        """Run the chosen benchmarks; without a choice, all that are installed."""
        loaders = {point.name: point for point in entry_points(group=ENTRY_POINT_GROUP)}
        for name in self._only:
            if name not in loaders:
                raise UnknownBenchmarkError(name=name, available=sorted(loaders))
        figures: dict[str, Figure] = {}
        if self._output.exists():
            figures = json.loads(self._output.read_text())
        for name in self._only or sorted(loaders):
            typer.echo(f"running {name}", err=True)
            benchmark: Benchmark = loaders[name].load()()
            measured = benchmark.run()
            typer.echo(json.dumps(measured, indent=2))
            figures.update(measured)
            self._output.write_text(json.dumps(figures, indent=2, sort_keys=True) + "\n")
