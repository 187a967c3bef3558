"""At-most-once execution, retries, deadlines and idempotency keys."""
