"""The entry host's program: gateway and group planning on one loop, one process.

It is what runs where no host is set aside for control: every entry host is alike,
one of them plans the groups under a lease, and all of them serve callers.
"""
