"""Validated models of the lists that the platform publishes."""

from __future__ import annotations

from laburnumbridge.lists.client_account_directory import ClientAccountDirectory
from laburnumbridge.lists.client_account_directory import Identity
from laburnumbridge.lists.client_account_list import ClientAccount
from laburnumbridge.lists.client_account_list import ClientAccountList
from laburnumbridge.lists.cross_checks import check_lists
from laburnumbridge.lists.errors import InvalidListError
from laburnumbridge.lists.list_problem import ListProblem
from laburnumbridge.lists.list_problem import Severity
from laburnumbridge.lists.parsing import parse_list
from laburnumbridge.lists.plan_list import Plan
from laburnumbridge.lists.plan_list import PlanList
from laburnumbridge.lists.service_list import Objectives
from laburnumbridge.lists.service_list import RoutingKey
from laburnumbridge.lists.service_list import Service
from laburnumbridge.lists.service_list import ServiceList
from laburnumbridge.lists.validation_faults import describe_faults
from laburnumbridge.lists.vm_list import Vm
from laburnumbridge.lists.vm_list import VmList

__all__ = [
    "ClientAccount",
    "ClientAccountDirectory",
    "ClientAccountList",
    "Identity",
    "InvalidListError",
    "ListProblem",
    "Objectives",
    "Plan",
    "PlanList",
    "RoutingKey",
    "Service",
    "ServiceList",
    "Severity",
    "Vm",
    "VmList",
    "check_lists",
    "describe_faults",
    "parse_list",
]
