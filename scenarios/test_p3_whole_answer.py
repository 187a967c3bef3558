"""Guards P3: a client's answer is whole and their own, or visibly cut."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features/p3_whole_answer.feature")
