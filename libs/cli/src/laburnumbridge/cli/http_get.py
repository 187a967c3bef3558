"""GET requests to the HTTP servers of processes that forward flows."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumbridge.forwarding.endpoints import Endpoint

TIMEOUT_S = 2.0
"""A process answers in milliseconds; a stopped one must not delay the others for long."""


def http_get(endpoint: Endpoint, path: str) -> tuple[int, str]:
    """Return status and body. Raises OSError and http.client.HTTPException."""
    connection = http.client.HTTPConnection(*endpoint, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()
