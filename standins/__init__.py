"""Simple replacements of the systems around the query tier, for tests only.

They stand in for the key-value service, the instance list and the leafs.
Each has a control endpoint through which a test injects faults.
"""
