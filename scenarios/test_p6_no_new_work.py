"""Guards P6: a leaving upstream gets no new work."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p6_no_new_work.feature")
