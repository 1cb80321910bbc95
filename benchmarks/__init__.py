"""Benchmarks, started by hand.

Compare only figures of the same run: they depend on the machine and its load.
"""
