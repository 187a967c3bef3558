"""The lists that the platform publishes, and their versions."""
