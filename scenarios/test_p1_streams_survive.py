"""Guards P1: planned changes end no stream."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p1_streams_survive.feature")
