"""Tests of the entries and changes that an instance sends to followers.

A follower would keep a wrong state if changes were missing without notice, if
an older change replaced a newer one, or if a page were too large for a message.
"""

import logging
import random

import attrs
import curio
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from clementinebank.clock import FakeClockKernel, now
from clementinebank.relay import (
    ChangeBatch,
    Entry,
    EntryLog,
    RemovalBounds,
    StoredState,
    StorePosition,
)
from clementinebank.relay._log import MAX_REMOVAL_BYTES

KEYS = ('a', 'b', 'c', 'd')
# Key and whether it is written or deleted.
CHANGES = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=40)


def run_scenario(scenario):
    with FakeClockKernel() as kernel:
        return kernel.run(scenario)


def history_of(changes):
    return [
        Entry(key, b'%d' % number if is_written else None, number)
        for number, (key, is_written) in enumerate(changes, 2)
    ]


def stored_at(history, revision):
    """Return the entries that exist at a revision."""
    found = {}
    for entry in history:
        if entry.revision <= revision:
            found.pop(entry.key, None)
            if entry.value is not None:
                found[entry.key] = entry
    return found


@seed(5)
@settings(max_examples=150, deadline=None)
@given(
    CHANGES, st.integers(0, 2**32), st.sampled_from([600, MAX_REMOVAL_BYTES])
)
def test_chain_of_logs_ends_with_what_is_stored(changes, draw, max_bytes):
    """A follower that reads at random moments misses no change."""

    async def scenario():
        rng = random.Random(draw)
        history = history_of(changes)
        relay = EntryLog(max_removal_bytes=max_bytes)
        follower = EntryLog()
        await relay.load(StoredState((), StorePosition(1), now()))
        await follower.load(StoredState((), StorePosition(1), now()))
        for at in range(0, len(history), 3):
            batch = tuple(history[at : at + 3])
            await relay.append(
                ChangeBatch(batch, StorePosition(batch[-1].revision), now())
            )
            if rng.random() < 0.4:
                await catch_up(follower, relay)
        await catch_up(follower, relay)
        expected = stored_at(history, relay.revision)
        assert relay.entries_by_key == expected
        assert follower.entries_by_key == expected
        assert follower.revision == relay.revision

    run_scenario(scenario)


async def catch_up(follower, relay):
    changes = relay.changes_since(follower.position)
    if changes is None:
        page = relay.page_after('')
        await follower.load(StoredState(page.entries, relay.position, now()))
    else:
        await follower.append(ChangeBatch(changes, relay.position, now()))


@seed(6)
@settings(max_examples=150, deadline=None)
@given(
    CHANGES, st.integers(0, 2**32), st.sampled_from([600, MAX_REMOVAL_BYTES])
)
def test_follower_of_a_log_that_reads_all_again_misses_nothing(
    changes, draw, max_bytes
):
    """A state that is loaded again must not hide removals from followers."""

    async def scenario():
        rng = random.Random(draw)
        history = history_of(changes)
        relay = EntryLog(max_removal_bytes=max_bytes)
        follower = EntryLog()
        await relay.load(StoredState((), StorePosition(1), now()))
        await follower.load(StoredState((), StorePosition(1), now()))
        for at in range(0, len(history), 3):
            batch = tuple(history[at : at + 3])
            revision = batch[-1].revision
            if rng.random() < 0.5:
                stored = tuple(stored_at(history, revision).values())
                await relay.load(
                    StoredState(stored, StorePosition(revision), now())
                )
            else:
                await relay.append(
                    ChangeBatch(batch, StorePosition(revision), now())
                )
            if rng.random() < 0.4:
                await catch_up(follower, relay)
        await catch_up(follower, relay)
        assert relay.entries_by_key == stored_at(history, relay.revision)
        assert follower.entries_by_key == relay.entries_by_key

    run_scenario(scenario)


def test_state_of_an_earlier_revision_makes_followers_read_all_again():
    """A store that was set back may have removed what the log never saw."""

    async def scenario():
        log = EntryLog()
        await log.load(
            StoredState((Entry('a', b'', 7),), StorePosition(10), now())
        )
        await log.load(StoredState((), StorePosition(5), now()))
        assert log.changes_since(StorePosition(4)) is None
        assert log.changes_since(StorePosition(5)) == ()

    run_scenario(scenario)


REMOVAL = Entry('a', None, 11)


@pytest.mark.parametrize(
    ('silent_s', 'has_store_failed', 'expected_s'),
    [(0.5, False, 0.5), (1.5, True, 0.8), (2.5, False, 0.8), (2.5, True, 2.5)],
)
def test_removal_counts_from_the_last_confirmation(
    silent_s, has_store_failed, expected_s
):
    """Only registrations that a store that was away lost get more time."""

    async def scenario():
        log = EntryLog(removal_bounds=RemovalBounds(0.8, 1.8))
        await log.load(
            StoredState((Entry('a', b'', 9),), StorePosition(10), now())
        )
        loaded_at = now()
        await curio.sleep(silent_s)
        if has_store_failed:
            log.store_failed_at = now()
        counts_at = log.removal_time(now(), REMOVAL)
        await log.append(ChangeBatch((REMOVAL,), StorePosition(11), now()))
        await curio.sleep(1)
        [change] = log.changes_since(StorePosition(10))
        assert change.removed_age_s == pytest.approx(now() - counts_at)
        return counts_at - loaded_at

    assert run_scenario(scenario) == pytest.approx(expected_s)


def test_word_of_another_instance_on_a_removal_counts():
    """It is passed on unchanged along a chain of any length."""

    async def scenario():
        told = attrs.evolve(REMOVAL, removed_age_s=1.25)
        for _ in range(4):
            log = EntryLog()
            await log.load(
                StoredState((Entry('a', b'', 9),), StorePosition(10), now())
            )
            await log.append(ChangeBatch((told,), StorePosition(11), now()))
            await curio.sleep(0.25)
            [told] = log.changes_since(StorePosition(10))
        return told.removed_age_s

    assert run_scenario(scenario) == pytest.approx(2.25)


def test_changes_before_a_load_are_reported_as_missing():
    async def scenario():
        log = EntryLog()
        await log.load(StoredState((), StorePosition(10), now()))
        assert log.changes_since(StorePosition(9)) is None
        assert log.changes_since(StorePosition(10)) == ()

    run_scenario(scenario)


def test_older_change_does_not_replace_a_newer_one():
    """Pages of a state can hold writes that the changes contain too."""

    async def scenario():
        log = EntryLog()
        await log.load(
            StoredState((Entry('a', b'new', 7),), StorePosition(5), now())
        )
        await log.append(
            ChangeBatch((Entry('a', b'old', 6),), StorePosition(6), now())
        )
        assert log.entries_by_key['a'].value == b'new'

    run_scenario(scenario)


def test_pages_hold_every_entry_within_the_limit_of_a_message():
    async def scenario():
        log = EntryLog()
        entries = tuple(
            Entry(f'k{number:02}', bytes(400_000), 1) for number in range(7)
        )
        await log.load(StoredState(entries, StorePosition(1), now()))
        found, key, has_more = [], '', True
        while has_more:
            page = log.page_after(key)
            assert sum(len(each.value) for each in page.entries) <= 1_000_000
            found.extend(page.entries)
            key, has_more = found[-1].key, page.has_more
        assert tuple(found) == entries

    run_scenario(scenario)


def test_confirmation_wakes_waiting_followers_and_never_goes_back():
    async def scenario():
        log = EntryLog()
        await log.load(StoredState((), StorePosition(1), now() - 0.5))
        waiting = await curio.spawn(log.wait_for_update, 100)
        await curio.sleep(1)
        await log.append(ChangeBatch((), StorePosition(1), now() - 5))
        await waiting.join()
        assert log.age_s(log.confirmed_at) == 0
        await curio.sleep(1)
        return log

    log = run_scenario(scenario)
    assert log.confirmed_at < float('inf')


@pytest.mark.parametrize('late_s', [0, 0.5])
def test_update_at_the_end_of_the_wait_causes_no_warning(late_s, caplog):
    """On a busy event loop the wait of each follower would log a warning.

    curio warns if a block ends normally after its timeout; a relay can have
    hundreds of followers.
    """
    with FakeClockKernel() as kernel, caplog.at_level(logging.WARNING):

        async def scenario():
            log = EntryLog()
            await log.load(StoredState((), StorePosition(1), now()))
            waiting = await curio.spawn(log.wait_for_update, 1)
            await curio.sleep(0.5)
            kernel.clock.advance(0.5 + late_s)
            await log.append(ChangeBatch((), StorePosition(1), now()))
            await waiting.join()

        kernel.run(scenario)
    assert not caplog.records


def test_changes_hold_only_the_newest_value_of_each_key():
    """A series of large values must not pile up on the links of a relay.

    With every value, a relay whose followers were slow to read had more to
    send with each further change, and fell behind by seconds.
    """

    async def run():
        log = EntryLog()
        await log.load(StoredState((), StorePosition(10), now()))
        changes = [
            Entry('op', b'%d' % number, number) for number in range(11, 35)
        ]
        changes.insert(3, Entry('leaf', b'x', 13))
        changes.append(Entry('leaf', None, 35))
        await log.append(ChangeBatch(tuple(changes), StorePosition(35), now()))
        return log.changes_since(StorePosition(10))

    assert curio.run(run) == (Entry('op', b'34', 34), Entry('leaf', None, 35))


async def load_earlier_era(log, *, last_revision=0):
    """Load a state of era 1 and then an empty one of era 2."""
    entries = (Entry('a', b'', 7),)
    await log.load(
        StoredState(entries, StorePosition(10, 1), now(), last_revision)
    )
    await log.load(StoredState((), StorePosition(8, 2), now()))


def test_changes_lead_from_the_era_before_to_the_present_one():
    async def run():
        log, follower = EntryLog(), EntryLog()
        known = (Entry('a', b'', 7), Entry('b', b'', 6))
        for each in (log, follower):
            await each.load(StoredState(known, StorePosition(9, 1), now()))
        lost = (Entry('a', None, 10), Entry('c', b'', 11))
        await log.append(ChangeBatch(lost, StorePosition(11, 1), now()))
        restored = (Entry('a', b'', 7), Entry('b', b'new', 9))
        await log.load(StoredState(restored, StorePosition(9, 2), now()))
        written = (Entry('d', b'', 10),)
        await log.append(ChangeBatch(written, StorePosition(10, 2), now()))
        changes = log.changes_since(follower.position)
        batch = ChangeBatch(changes, log.position, now())
        await follower.load(follower.state_after(batch))
        assert follower.entries_by_key == log.entries_by_key
        assert log.changes_since(StorePosition(9, 0)) is None
        assert log.changes_since(StorePosition(12, 1)) is None

    run_scenario(run)


def test_state_read_in_pages_tells_no_changes_between_eras():
    """It may hold later entries than its position, and lack earlier ones."""

    async def run():
        log = EntryLog()
        await load_earlier_era(log)
        assert log.changes_since(StorePosition(10, 1)) is not None
        mixed = EntryLog()
        await load_earlier_era(mixed, last_revision=12)
        assert mixed.changes_since(StorePosition(10, 1)) is None

    run_scenario(run)


def test_state_read_in_pages_is_exact_after_the_changes_up_to_its_last_page():
    async def run():
        log = EntryLog()
        await log.load(StoredState((), StorePosition(10), now(), 12))
        assert not log.is_exact
        await log.append(ChangeBatch((), StorePosition(12), now()))
        assert log.is_exact

    run_scenario(run)
