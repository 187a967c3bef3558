"""Guards P3: a client receives its own complete answer or a detectably truncated one."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p3_whole_answer.feature")
