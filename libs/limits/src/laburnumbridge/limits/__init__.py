"""Plan limits across the fleet by leases of credit."""
