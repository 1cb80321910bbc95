"""The operators' command-line tool."""

from clementinebank.cli._main import main

__all__ = ('main',)
