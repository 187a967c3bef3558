"""Versions of the lists: who reads, who relays, which version wins."""
