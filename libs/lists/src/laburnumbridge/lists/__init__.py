"""Validated models of the lists that the platform publishes."""
