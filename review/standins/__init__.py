"""Stand-ins for the platform's store, backends, clients and routers, and a runner of processes.

They use only the standard library and run in one asyncio loop on loopback addresses.
"""
