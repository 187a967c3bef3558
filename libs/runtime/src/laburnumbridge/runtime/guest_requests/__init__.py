"""Requests of guests, from the connection to the upstream and back."""
