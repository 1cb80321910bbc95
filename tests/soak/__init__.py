"""Seeded randomised run of the whole system with faults."""
