"""Query tier over many shards, driven by one operators' document."""

__all__ = ('__version__',)

__version__ = '0.1.0'
