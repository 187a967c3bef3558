"""The way of a packet through a balancer."""
