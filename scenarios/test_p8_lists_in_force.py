"""Guards P8: accepted lists come into force and never revert."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p8_lists_in_force.feature")
