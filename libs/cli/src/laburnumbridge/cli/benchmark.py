"""Interface of the benchmarks that the ``bench`` command runs."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import ClassVar

if TYPE_CHECKING:
    from collections.abc import Mapping

Figure = float | int | str | list["Figure"] | dict[str, "Figure"]


class Benchmark(ABC):
    """One benchmark; subclasses register as entry points of ``laburnumbridge.benchmarks``."""

    name: ClassVar[str]

    @abstractmethod
    def run(self) -> Mapping[str, Figure]:
        """Measure and return the figures by key; the unit is part of the key."""
