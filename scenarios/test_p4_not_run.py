"""Guards P4: a client never receives "not run" for a request that ran."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p4_not_run.feature")
