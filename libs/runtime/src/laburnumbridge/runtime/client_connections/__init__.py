"""QUIC connections of clients, at their agent."""
