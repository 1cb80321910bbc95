"""Replica selection."""

from clementinebank.routing._router import LeafState, Router

__all__ = ('LeafState', 'Router')
