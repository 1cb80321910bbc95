"""Fixtures shared by the process tests."""

from pathlib import Path

import pytest
import yaml

from tests.harness import Fleet

DOCUMENT = Path(__file__).parent.parent / 'examples' / 'kumagawa-small.yaml'


@pytest.fixture
def fleet(tmp_path):
    """Start two instances in two data centres with a small document."""
    started = Fleet(tmp_path, yaml.safe_load(DOCUMENT.read_text()))
    try:
        started.start()
        yield started
    finally:
        started.stop()
