"""Stand-ins for platform, fabric, upstreams and clients, for tests and demonstrations."""
