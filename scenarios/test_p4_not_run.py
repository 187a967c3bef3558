"""Guards P4: "not run" is never said of a request that ran."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p4_not_run.feature")
