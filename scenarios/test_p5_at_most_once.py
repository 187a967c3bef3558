"""Guards P5: a non-idempotent request never runs twice."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p5_at_most_once.feature")
