"""Scenarios for the guarantees in section 1.3 of the design page."""

from __future__ import annotations

import pytest

# Without assertion rewriting, a failed step does not show the compared values.
pytest.register_assert_rewrite("scenarios.steps")
