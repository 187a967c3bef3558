"""Times that a lease client and a lease holder must agree on, in seconds."""

from __future__ import annotations

# The longest time that credit stays out at an agent the holder no longer hears of.
TERM_S = 3.0
# Two renewals may be lost before a lease ends.
RENEW_S = 1.0
# An agent that only keeps connections open and sees no demand reports its use this often.
REST_S = 10.0
# The driver's longest interval between ticks while a machine holds state.
TICK_S = 0.25
# A gap between two events above this counts as a pause of the process; four ticks are missed.
CLOCK_JUMP_S = 1.0
# The longest time that an admission waits for credit.
MAX_WAIT_S = 0.05
# Admissions that run short within this time share one report.
ASK_INTERVAL_S = 0.005
# Covers a round trip of 3 ms between failure domains with queueing.
RETRY_S = 0.012
# Unused credit is kept this long while the plan is tight. At 50 agents and work of 0.5 s, 4 ms
# left up to 3.4 % of the limit unused on its way.
RETURN_DELAY_S = 0.0005
# Time for a recall: a round trip, the return delay and the retry of a lost return. An agent is
# denied with the next credit that is handed out after this, when the least credit is on its way.
DENY_AFTER_S = 0.018
# With no credit handed out, the answer still reaches the agent within its longest wait.
DENY_LATEST_S = 0.03
# How long a recall asks agents to return unused credit without another recall.
TIGHT_S = 1.5
# The period over which a rate is limited.
RATE_WINDOW_S = 1.0
# Uses of one slice are released together; half a slice is 0.1 % of the window.
RATE_SLICE_S = 0.002
