"""Guards P2: no packet reaches another service."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p2_right_service.feature")
