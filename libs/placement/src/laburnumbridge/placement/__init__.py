"""Choice of the upstream that takes a new connection."""
