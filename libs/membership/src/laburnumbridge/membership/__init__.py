"""Liveness of processes over the list of VMs."""
