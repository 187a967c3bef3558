"""Events, logs, metrics, recorded decisions and burn rates."""
