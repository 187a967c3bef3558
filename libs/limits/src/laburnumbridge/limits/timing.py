"""Times that a lease client and a lease holder must agree on, in seconds."""

from __future__ import annotations

# The longest time that credit stays out at an agent whose reports no longer arrive.
TERM_S = 3.0
# Two renewals may be lost before a lease ends.
RENEW_S = 1.0
# Interval of the reports of an agent that has open work and no demand.
IDLE_REPORT_S = 10.0
# The driver's longest interval between ticks while a lease client or holder has state.
TICK_S = 0.25
# A longer gap between two events counts as a pause of the process: four ticks were missed.
CLOCK_JUMP_S = 1.0
# The longest time that an admission waits for credit.
MAX_WAIT_S = 0.05
# Admissions that run short within this time share one report.
REQUEST_INTERVAL_S = 0.005
# Time before the first retry of a report; covers a round trip of 3 ms between failure domains
# with queueing.
RETRY_S = 0.012
# Unused credit is returned after this delay while the plan is tight. With 50 agents and work of
# 0.5 s, a delay of 4 ms left up to 3.4 % of the limit unused in transit.
RETURN_DELAY_S = 0.0005
# Time for a recall: a round trip, the return delay and the retry of a lost return. After this
# time an agent is denied when credit is next granted, because then the least credit is in transit.
DENY_AFTER_S = 0.018
# If no credit is granted, an agent is denied after this time, so that the answer still arrives
# within its longest wait.
DENY_LATEST_S = 0.03
# How long agents keep returning unused credit after a recall; a further recall prolongs it.
TIGHT_S = 1.5
# The period over which a rate is limited.
RATE_WINDOW_S = 1.0
# Uses of one slice are released together; half a slice is 0.1 % of the window.
RATE_SLICE_S = 0.002
