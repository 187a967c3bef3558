"""Stand-ins for everything around the processes that forward flows, on simulated time."""
