"""Benchmarks, run by hand; figures are ratios within one run."""
