"""Settings of a process, read from JSON."""
