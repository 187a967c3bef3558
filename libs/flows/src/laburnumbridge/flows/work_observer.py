"""What a flow tracker reports about requests and flows."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.flows.flow_packet import FlowKey


class WorkObserver(ABC):
    """Receives the events of one upstream; times are monotonic seconds.

    ``route`` is the name of the flow's route, or an empty string if it isn't known.
    """

    @abstractmethod
    def on_flow_opened(self, route: str, now: float) -> None:
        """Note that a flow is open."""

    @abstractmethod
    def on_flow_closed(self, route: str, now: float) -> None:
        """Note that an open flow has ended."""

    @abstractmethod
    def on_request_complete(self, flow: FlowKey, route: str, now: float) -> None:
        """Note that the last byte of a request has arrived."""

    @abstractmethod
    def on_answer_begun(self, flow: FlowKey, now: float) -> None:
        """Note the first byte of the answer to the request of ``flow``."""

    @abstractmethod
    def on_request_ended(self, flow: FlowKey, now: float) -> None:
        """Note that the request of ``flow`` gets no answer, or wasn't complete after all."""
