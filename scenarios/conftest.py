"""Makes the steps of every library available to every feature."""

from __future__ import annotations

from scenarios.steps.admission import *  # noqa: F403
from scenarios.steps.agent import *  # noqa: F403
from scenarios.steps.balancers import *  # noqa: F403
from scenarios.steps.members import *  # noqa: F403
from scenarios.steps.placing import *  # noqa: F403
from scenarios.steps.relays import *  # noqa: F403
from scenarios.steps.requests import *  # noqa: F403
