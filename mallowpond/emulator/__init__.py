"""Simulation of the node's services on a virtual clock, with emulated engines."""
