"""QUIC connections of guests, at their agent."""
