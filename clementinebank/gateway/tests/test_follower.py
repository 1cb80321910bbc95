"""Guards the control state of an instance against faults of its feed.

While the store is down an instance must keep its routes and leafs. When the
store has lost the history of changes, the instance must read everything again
and drop what is gone. A revision that goes back or a change that can't be
applied must not stop later changes. The log must tell a version that came late
from one that never came and from one that came back older.
"""

import itertools
import pickle
from unittest import mock

import attrs
import curio
from result import Err, Ok

from clementinebank.clock import FakeClockKernel, now
from clementinebank.errors import Failure, Step
from clementinebank.gateway import (
    ConfigurationWritten,
    ControlStateUpdater,
    EvacuationBegun,
    EvacuationEnded,
    LeafRemoved,
    LeafWritten,
)
from clementinebank.gateway import _updater as updater_module
from clementinebank.leafs import LeafDirectory, LeafRecord
from clementinebank.relay import (
    HISTORY_LOST,
    ChangeBatch,
    Entry,
    EntryLog,
    RelayDirectory,
    StoredState,
    StorePosition,
)
from clementinebank.routes import RouteTable, RoutingConfiguration
from clementinebank.validation import Address

LEAF = LeafRecord('i-1', 1, 1, 's', Address('127.0.0.1', 1), 'dc', 3)
DRAIN_S = 3.0
KEY_NUMBERS = itertools.count()


def configuration_change(version):
    return ConfigurationWritten(RoutingConfiguration(version, (), {}))


def failure(code):
    return Err(Failure(code, code, Step.READ_HEAD))


def entries_of(changes, revision):
    """Return one entry for each change; ``decode_entry`` returns the change."""
    return tuple(
        Entry(f'k-{next(KEY_NUMBERS)}', pickle.dumps(change), revision)
        for change in changes
    )


def decode_entry(entry):
    change = pickle.loads(entry.value)
    if isinstance(change, ConfigurationWritten):
        return attrs.evolve(change, revision=entry.revision)
    return change


def confirm(result):
    """Return a result whose entries are confirmed now."""
    return result.map(lambda each: attrs.evolve(each, confirmed_at=now()))


class FakeFeed:
    """Feed that returns the given results in order.

    Afterwards reads fail, and watches return no changes.
    """

    source = 'store'

    def __init__(self, states, batches):
        self.calls = 0
        self.states = list(states)
        self.batches = list(batches)
        self.watch_calls = []

    async def read_all(self):
        self.calls += 1
        await curio.sleep(0.004)
        return confirm(self.states.pop(0)) if self.states else failure('down')

    async def wait_for_changes(self, position, wait_s):
        self.calls += 1
        self.watch_calls.append((position.revision, now()))
        await curio.sleep(0.004)
        if self.batches:
            return confirm(self.batches.pop(0))
        await curio.sleep(wait_s)
        return Ok(ChangeBatch((), position, now()))


def run_updater(states, batches, seconds=1.0, log=None, decode=decode_entry):
    """Run an updater on a fake feed for some seconds and return it."""

    async def ignore():
        return None

    async def run():
        feed = FakeFeed(states, batches)
        updater = ControlStateUpdater(
            feed,
            decode,
            RouteTable(),
            LeafDirectory(DRAIN_S),
            RelayDirectory(),
            log or EntryLog(),
            ignore,
        )
        await curio.spawn(updater.run, daemon=True)
        await curio.sleep(seconds)
        return updater

    with FakeClockKernel() as kernel:
        return kernel.run(run)


def stored_state(*changes, revision=5):
    return Ok(
        StoredState(entries_of(changes, revision), StorePosition(revision), 0)
    )


def change_batch(*changes, revision=6):
    return Ok(
        ChangeBatch(entries_of(changes, revision), StorePosition(revision), 0)
    )


def test_instance_that_starts_without_the_store_loads_when_it_is_back():
    outage = [failure('down')] * 3
    updater = run_updater([*outage, stored_state(configuration_change(7))], [])
    assert updater.is_loaded
    assert updater.route_table.version == 7


def test_outage_keeps_what_is_known():
    outage = [failure('down')] * 5
    updater = run_updater(
        [stored_state(configuration_change(7), LeafWritten(LEAF))],
        outage,
        seconds=2,
    )
    assert updater.route_table.version == 7
    assert updater.leaf_directory.records_by_id


def test_lost_history_is_read_again_and_missing_leafs_go():
    other = stored_state(configuration_change(8), revision=9)
    updater = run_updater(
        [stored_state(configuration_change(7), LeafWritten(LEAF)), other],
        [failure(HISTORY_LOST)],
        seconds=DRAIN_S,
    )
    assert updater.route_table.version == 8
    assert not updater.leaf_directory.records_by_id
    assert updater.feed.watch_calls[-1][0] == 9


def test_removed_leaf_is_gone_before_the_bound_of_a_drain():
    updater = run_updater(
        [stored_state(configuration_change(7), LeafWritten(LEAF))],
        [change_batch(LeafRemoved('i-1'))],
        seconds=DRAIN_S - 0.5,
    )
    assert not updater.leaf_directory.records_by_id


def test_revision_never_goes_back():
    updater = run_updater(
        [stored_state(configuration_change(7))], [change_batch(revision=2)]
    )
    assert updater.feed.watch_calls[-1][0] == 5


def test_fault_in_one_change_does_not_end_the_following(monkeypatch):
    original = RouteTable.activate

    def fail_once(route_table, configuration):
        if configuration.version == 8:
            raise ValueError('unexpected')
        return original(route_table, configuration)

    monkeypatch.setattr(RouteTable, 'activate', fail_once)
    updater = run_updater(
        [
            stored_state(configuration_change(7)),
            stored_state(configuration_change(9), revision=8),
        ],
        [change_batch(configuration_change(8))],
        seconds=3,
    )
    assert updater.route_table.version == 9


def test_evacuation_begins_and_ends_with_its_entry():
    begun = stored_state(configuration_change(7), EvacuationBegun('dc'))
    updater = run_updater([begun], [])
    assert updater.leaf_directory.is_evacuated('dc')
    updater = run_updater([begun], [change_batch(EvacuationEnded('dc'))])
    assert not updater.leaf_directory.is_evacuated('dc')


def test_end_of_an_evacuation_that_was_missed_is_found_by_a_full_read():
    updater = run_updater(
        [
            stored_state(configuration_change(7), EvacuationBegun('dc')),
            stored_state(configuration_change(8), EvacuationBegun('other')),
        ],
        [failure(HISTORY_LOST)],
    )
    assert updater.leaf_directory.evacuated_data_centres == {'other'}


def test_exception_while_a_restored_state_is_applied_keeps_its_rules():
    """The read after it took the copy for a state of the same history."""
    kept = LeafWritten(LEAF)
    raised = []

    def decode_once_with_an_error(entry):
        if entry.revision == 4 and not raised:
            raised.append(entry)
            raise ArithmeticError
        return decode_entry(entry)

    def at_era(state, era):
        position = attrs.evolve(state.ok_value.position, era=era)
        return state.map(lambda each: attrs.evolve(each, position=position))

    copy = at_era(stored_state(configuration_change(6), revision=4), 2)
    updater = run_updater(
        [at_era(stored_state(configuration_change(7), kept), 1), copy, copy],
        [failure(HISTORY_LOST)],
        seconds=1.5,
        decode=decode_once_with_an_error,
    )
    assert raised
    assert updater.route_table.version == 7
    assert LEAF.leaf_id in updater.leaf_directory.records_by_id
    assert not updater.leaf_directory.removed_at_by_id


def test_confirmed_state_after_a_return_is_not_watched_without_a_wait():
    """The store got a call each few ms until the wait for rewrites ended."""
    first = stored_state(configuration_change(7))
    states = [
        first.map(
            lambda each, era=era: attrs.evolve(
                each, position=StorePosition(5, era)
            )
        )
        for era in (1, 2)
    ]
    updater = run_updater(states, [failure(HISTORY_LOST)], seconds=5)
    assert updater.entry_log.position.era == 2
    assert len(updater.feed.watch_calls) < 5


def test_state_that_is_too_large_leaves_the_last_one_in_force():
    """The instance would be killed for its memory otherwise."""
    large = Ok(ChangeBatch((Entry('x', bytes(9_000), 6),), StorePosition(6), 0))
    updater = run_updater(
        [stored_state(configuration_change(7))],
        [large, change_batch(configuration_change(8))],
        seconds=8,
        log=EntryLog(max_state_bytes=8_000),
    )
    assert updater.route_table.version == 8
    assert 'x' not in updater.entry_log.entries_by_key


def run_logged(states, batches, **options):
    """Run an updater; return its log lines on configurations."""
    with mock.patch.object(updater_module, 'log_message') as write:
        run_updater(states, batches, **options)
    lines = [call.kwargs for call in write.call_args_list]
    return [
        (
            line['message_type'].removeprefix('feed:'),
            line['version'],
            line['in_force'],
            line['entry_revision'],
            line['revision'],
        )
        for line in lines
        if line['message_type'].startswith('feed:configuration')
    ]


def test_configuration_in_force_is_logged_with_where_it_came_from():
    with mock.patch.object(updater_module, 'log_message') as write:
        run_updater([stored_state(configuration_change(7))], [], seconds=0.1)
    (line,) = [call.kwargs for call in write.call_args_list]
    assert line == {
        'message_type': 'feed:configuration',
        'version': 7,
        'in_force': 7,
        'entry_revision': 5,
        'revision': 5,
        'era': None,
        'source': 'store',
        'confirmed_s': 0.0,
    }


def test_each_configuration_that_comes_is_logged_once():
    """Changes of other entries and whole states repeat none of the lines."""
    lines = run_logged(
        [
            stored_state(configuration_change(7)),
            Ok(
                StoredState(
                    (
                        *entries_of([configuration_change(8)], 6),
                        *entries_of([LeafWritten(LEAF)], 9),
                    ),
                    StorePosition(9),
                    0,
                )
            ),
        ],
        [
            change_batch(configuration_change(8)),
            change_batch(LeafWritten(LEAF), revision=8),
            failure(HISTORY_LOST),
            change_batch(configuration_change(9), revision=10),
        ],
        seconds=3,
    )
    assert lines == [
        ('configuration', 7, 7, 5, 5),
        ('configuration', 8, 8, 6, 6),
        ('configuration', 9, 9, 10, 10),
    ]


def test_configuration_that_is_not_newer_is_logged_once():
    older = stored_state(configuration_change(6), revision=9)
    lines = run_logged(
        [stored_state(configuration_change(7)), older, older],
        [
            failure(HISTORY_LOST),
            failure(HISTORY_LOST),
            change_batch(configuration_change(7), revision=11),
        ],
        seconds=3,
    )
    assert lines == [
        ('configuration', 7, 7, 5, 5),
        ('configuration_not_newer', 6, 7, 9, 9),
        ('configuration_not_newer', 7, 7, 11, 11),
    ]
