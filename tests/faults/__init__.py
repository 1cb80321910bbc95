"""Fault matrix: runs each path with each fault at each step, and with pairs."""
