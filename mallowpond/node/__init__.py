"""The entry host's program: gateway and group planning in one process and event loop.

It runs where no host is reserved for control: all entry hosts are alike. One of them
plans the groups under a lease, and all of them serve callers.
"""
