"""Fault matrix: every fault at every step, and pairs of faults."""
