"""Forwarding of packets through a balancer."""
