"""One agent of the fleet that the limits benchmark runs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from laburnumbridge.core import Incarnation
from laburnumbridge.core import PlanName
from laburnumbridge.core import ProcessId
from laburnumbridge.limits import TICK_S
from laburnumbridge.limits import FleetChanged
from laburnumbridge.limits import Grant
from laburnumbridge.limits import GrantReceived
from laburnumbridge.limits import HolderDirectory
from laburnumbridge.limits import LeaseClient
from laburnumbridge.limits import LeaseHolder
from laburnumbridge.limits import PlansChanged
from laburnumbridge.limits import Query
from laburnumbridge.limits import QueryReceived
from laburnumbridge.limits import Report
from laburnumbridge.limits import ReportReceived
from laburnumbridge.limits import Tick

if TYPE_CHECKING:

    from laburnumbridge.limits import ClientAction
    from laburnumbridge.limits import ClientEvent
    from laburnumbridge.limits import HolderAction
    from laburnumbridge.limits import HolderEvent

Message = Report | Grant | Query

PLAN = PlanName("plan")


class LeaseProcess:
    """The lease client of an agent and, if rendezvous hashing selects the agent, the holder."""

    def __init__(self, *, agent: ProcessId) -> None:
        self.agent = agent
        self.client = LeaseClient(agent=agent, incarnation=Incarnation(1))
        self.holder: LeaseHolder | None = None
        self.inbox: list[Message] = []
        self.due_at = math.inf
        self._directory = HolderDirectory()
        self._plans = PlansChanged(0, {})
        self._view = FleetChanged(frozenset(), frozenset())

    def change_plans(self, plans: PlansChanged, now: float) -> list[ClientAction | HolderAction]:
        """Put a version of the plans in force."""
        self._plans = plans
        return self._handle_in_both(plans, now)

    def change_view(self, view: FleetChanged, now: float) -> list[ClientAction | HolderAction]:
        """Apply a view of the fleet, and start or stop being the holder."""
        self._view = view
        self._directory.replace_agents(view.reachable)
        if self._directory.holder(PLAN) != self.agent:
            self.holder = None
        elif self.holder is None:
            incarnation = Incarnation(1 + int(now * 1000))
            self.holder = LeaseHolder(plan=PLAN, holder=self.agent, incarnation=incarnation)
            self.holder.handle(self._plans, now)
        return self._handle_in_both(view, now)

    def receive(self, message: Message, now: float) -> list[ClientAction | HolderAction]:
        """Pass a message to the state machine that handles its type."""
        match message:
            case Report():
                if self.holder is None:
                    return []
                return list(self.holder.handle(ReportReceived(message), now))
            case Grant():
                return list(self.client.handle(GrantReceived(message), now))
            case Query():
                return list(self.client.handle(QueryReceived(message), now))

    def tick(self, now: float) -> list[ClientAction | HolderAction]:
        """Pass a tick to the client and the holder."""
        return self._handle_in_both(Tick(), now)

    def next_due(self, now: float) -> float:
        """Return the time of the next tick, in seconds; it is later than ``now``."""
        due = [now + TICK_S]
        client_due = self.client.next_due()
        if client_due is not None:
            due.append(client_due)
        if self.holder is not None:
            due.append(self.holder.next_due(now))
        return max(min(due), now + 0.0001)

    def _handle_in_both(
        self, event: PlansChanged | FleetChanged | Tick, now: float
    ) -> list[ClientAction | HolderAction]:
        client_event: ClientEvent = event
        holder_event: HolderEvent = event
        actions: list[ClientAction | HolderAction] = list(self.client.handle(client_event, now))
        if self.holder is not None:
            actions.extend(self.holder.handle(holder_event, now))
        return actions
