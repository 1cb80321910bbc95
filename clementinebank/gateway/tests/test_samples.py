"""Guards the figures that tell which state an instance knows.

An instance that lags must show it by its version and ages, and one without a
state must not make the text of the metrics fail.
"""

import curio

from clementinebank.clock import FakeClockKernel, now
from clementinebank.gateway._samples import read_state_samples
from clementinebank.metrics import Metrics, format_metrics
from clementinebank.relay import (
    ChangeBatch,
    EntryLog,
    StoredState,
    StorePosition,
)
from clementinebank.routes import RouteTable, RoutingConfiguration


def read_figures(table, entry_log):
    """Return the figures in the text of the metrics by their names."""
    metrics = Metrics()
    metrics.add_source(lambda: read_state_samples(table, entry_log))
    return {
        line.split()[0].removeprefix('clementinebank_'): float(line.split()[1])
        for line in format_metrics(metrics).splitlines()
        if not line.startswith('#')
    }


def test_instance_without_a_state_has_no_ages():
    figures = read_figures(RouteTable(), EntryLog())
    assert figures == {
        'configuration_version': 0,
        'store_revision': 0,
        'store_returns_total': 0,
    }


def test_figures_follow_the_state():
    async def run():
        table = RouteTable()
        entry_log = EntryLog()
        await entry_log.load(StoredState((), StorePosition(30, 1), now()))
        table.activate(RoutingConfiguration(7, (), {}))
        await curio.sleep(4)
        first = read_figures(table, entry_log)
        await entry_log.append(ChangeBatch((), StorePosition(32, 1), now()))
        await curio.sleep(1)
        table.activate(RoutingConfiguration(8, (), {}))
        table.activate(RoutingConfiguration(6, (), {}))
        await curio.sleep(0.5)
        return first, read_figures(table, entry_log)

    with FakeClockKernel() as kernel:
        first, second = kernel.run(run)
    assert first == {
        'configuration_version': 7,
        'configuration_age_seconds': 4,
        'store_revision': 30,
        'store_era': 1,
        'store_returns_total': 0,
        'store_confirmation_age_seconds': 4,
    }
    assert second == {
        'configuration_version': 8,
        'configuration_age_seconds': 0.5,
        'store_revision': 32,
        'store_era': 1,
        'store_returns_total': 0,
        'store_confirmation_age_seconds': 1.5,
    }
