"""Stand-ins for the surroundings of forwarding processes, simulated or on loopback."""
