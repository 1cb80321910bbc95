"""Fixtures of the process tests."""

from pathlib import Path

import pytest
import yaml

from tests.harness import Fleet

DOCUMENT = Path(__file__).parent.parent / 'examples' / 'kumagawa-small.yaml'


@pytest.fixture
def fleet(tmp_path):
    """Two instances in two data centres over a small document."""
    started = Fleet(tmp_path, yaml.safe_load(DOCUMENT.read_text()))
    try:
        started.start()
        yield started
    finally:
        started.stop()
