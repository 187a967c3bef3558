"""Requests of clients, from the connection to the upstream and back."""
