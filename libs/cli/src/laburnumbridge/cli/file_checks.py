"""Checks of each list, of the lists together, and of the settings of a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar

from pydantic import BaseModel

from laburnumbridge.cli.settings_checks import check_settings
from laburnumbridge.lists import ClientAccountList
from laburnumbridge.lists import InvalidListError
from laburnumbridge.lists import ListProblem
from laburnumbridge.lists import PlanList
from laburnumbridge.lists import ServiceList
from laburnumbridge.lists import Severity
from laburnumbridge.lists import VmList
from laburnumbridge.lists import check_lists
from laburnumbridge.lists import parse_list
from laburnumbridge.settings import AgentSettings
from laburnumbridge.settings import BalancerSettings
from laburnumbridge.settings import InvalidSettingsError
from laburnumbridge.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

M = TypeVar("M", bound=BaseModel)

# The configuration service stores no larger value.
MAX_VALUE_BYTES = 1024 * 1024
MODEL_BY_ROLE: Mapping[str, type[AgentSettings] | type[BalancerSettings]] = {
    "agent": AgentSettings,
    "balancer": BalancerSettings,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Finding:
    """A fault at ``path`` of the document in ``file``."""

    file: str
    path: str
    message: str
    severity: Severity


class FileChecks:
    """Collects the findings about the files of one user.

    Lists that can't be parsed are left out of the checks across lists.
    """

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self._file_by_root: dict[str, str] = {}

    @property
    def errors(self) -> int:
        """Number of findings that prevent the files from being accepted."""
        return sum(finding.severity is Severity.ERROR for finding in self.findings)

    @property
    def warnings(self) -> int:
        """Number of the other findings."""
        return len(self.findings) - self.errors

    def parse(self, list_name: str, file: Path, data: bytes, model: type[M]) -> M | None:
        """Validate one list; return None where it has faults."""
        self._file_by_root[list_name] = str(file)
        if list_name != "vms" and len(data) > MAX_VALUE_BYTES:
            message = f"{len(data)} bytes are more than the platform holds ({MAX_VALUE_BYTES})"
            self._add(ListProblem(path=list_name, message=message))
        try:
            return parse_list(list_name, data, model)
        except InvalidListError as error:
            for problem in error.problems:
                self._add(problem)
        return None

    def compare(
        self,
        *,
        services: ServiceList | None,
        client_accounts: ClientAccountList | None,
        plans: PlanList | None,
        vms: VmList | None,
    ) -> None:
        """Check the lists against one another."""
        if services is None or client_accounts is None or plans is None:
            return
        for problem in check_lists(
            services=services, client_accounts=client_accounts, plans=plans, vms=vms
        ):
            self._add(problem)

    def read_settings(
        self, *, file: Path, role: str, services: ServiceList | None, vms: VmList | None
    ) -> None:
        """Validate settings and compare them with the lists; raises SettingsNotReadableError."""
        self._file_by_root["settings"] = str(file)
        try:
            settings = load_settings(file, MODEL_BY_ROLE[role])
        except InvalidSettingsError as error:
            for fault in error.faults:
                path, _, message = fault.partition(": ")
                self._add(ListProblem(path=path, message=message))
            return
        for problem in check_settings(settings, services=services, vms=vms):
            self._add(problem)

    def _add(self, problem: ListProblem) -> None:
        root = problem.path.replace("[", ".").split(".")[0]
        self.findings.append(
            Finding(
                file=self._file_by_root[root],
                path=problem.path,
                message=problem.message,
                severity=problem.severity,
            )
        )
