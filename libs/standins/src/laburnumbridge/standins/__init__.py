"""Stand-ins for platform, fabric, upstreams and guests, for tests and demonstrations."""
