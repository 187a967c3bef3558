"""Messages between processes, and the drivers that they feed."""
