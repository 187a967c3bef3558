"""QUIC connections of clients that an agent terminates."""
