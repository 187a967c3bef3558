"""Slots, connections and queue of one upstream."""
