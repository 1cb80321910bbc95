"""Soak: a randomised run of the whole system under faults, from one seed."""
