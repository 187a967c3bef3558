"""Limits the openings that an agent delivers to its upstream while that is cold."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from laburnumbridge.flows import WarmUpLimiter

if TYPE_CHECKING:
    from collections.abc import Callable

    from laburnumbridge.catalog import ServiceWarmUp
    from laburnumbridge.catalog import UpstreamEntry
    from laburnumbridge.forwarding.forwarding_process import ForwardingProcess


class WarmUpControl:
    """Decides whether the limit is in force and whether it has room.

    It is in force while the upstream may be cold: its entry isn't known or says so, it was seen to
    restart, or an evacuation of its failure domain has ended lately. ``entry`` returns the entry of
    the upstream of ``service``, or None. Without ``warm_up_overage`` in the settings, or without
    accepted openings of the service in the configuration, there is no limit. An agent without a
    configuration delivers what is allowed in any case, ``warm_up_slack``.
    """

    def __init__(
        self,
        *,
        process: ForwardingProcess,
        service: str,
        entry: Callable[[], UpstreamEntry | None],
    ) -> None:
        self._process = process
        self._service = service
        self._entry = entry
        self._warm_up: ServiceWarmUp | None = None
        self._is_configured = False
        self._cold_since: float | None = None
        self._started_ms: int | None = None
        self._was_evacuated = False
        self._started_at = process.loop.now()
        self._limiter = WarmUpLimiter(max_openings=self._max_openings(0.0), started_at=-math.inf)

    def on_view_change(self, now: float, *, is_evacuated: bool) -> None:
        """Note a change of the configuration, of the upstream's start or of an evacuation."""
        configuration = self._process.view.catalog.configuration
        if configuration is not None:
            found = [one for one in configuration.warm_ups or () if one.service == self._service]
            is_first = not self._is_configured
            self._is_configured = True
            # An operator who publishes 0 has stated no limit: the slack alone would let a service
            # whose upstreams have all restarted take a few openings a second.
            self._warm_up = found[0] if found and found[0].openings_per_s > 0 else None
            limit = self._max_openings(self._warm_up.openings_per_s if self._warm_up else 0.0)
            if is_first or limit != self._limiter.max_openings:
                self._limiter = WarmUpLimiter(
                    max_openings=limit,
                    started_at=self._started_at if is_first else now,
                    admitted_at=self._limiter.admitted_at,
                )
        entry = self._entry()
        if entry is not None:
            if self._started_ms not in (None, entry.started_ms):
                self.on_restart(now)
            self._started_ms = entry.started_ms
        if self._was_evacuated and not is_evacuated:
            self._cold_since = now
        self._was_evacuated = is_evacuated

    def on_restart(self, now: float) -> None:
        """Note that the upstream seems to have restarted."""
        self._cold_since = now

    def on_opening(self, now: float) -> None:
        """Count an opening packet that is delivered to the upstream."""
        self._limiter.admit(now)

    def is_in_force(self, now: float) -> bool:
        """Return whether the openings of the upstream are limited."""
        if self._process.settings.warm_up_overage is None:
            return False
        if self._is_configured and self._warm_up is None:
            return False
        warm_up_s = 0.0 if self._warm_up is None else self._warm_up.warm_up_s
        if self._cold_since is not None and now - self._cold_since < warm_up_s:
            return True
        entry = self._entry()
        return entry is None or self._process.directory.warm_up_ends_at(entry.name) > now

    def has_room(self, now: float) -> bool:
        """Return whether an opening packet may be delivered to the upstream."""
        return not self.is_in_force(now) or self._limiter.has_room(now)

    def _max_openings(self, openings_per_s: float) -> int:
        settings = self._process.settings
        overage = settings.warm_up_overage or 0.0
        return int(openings_per_s * overage + (settings.warm_up_slack or 0.0))
