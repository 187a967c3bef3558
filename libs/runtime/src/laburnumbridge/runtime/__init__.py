"""Drivers and processes: sockets, clocks and event loops around the decisions."""
