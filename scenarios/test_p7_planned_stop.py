"""Guards P7: a planned stop interrupts nothing."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p7_planned_stop.feature")
