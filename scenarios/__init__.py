"""Scenarios for the promises of the design page, section 1.3."""

from __future__ import annotations

import pytest

# Without it a failed step shows no values.
pytest.register_assert_rewrite("scenarios.steps")
