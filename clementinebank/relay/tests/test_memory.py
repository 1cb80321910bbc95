"""Tests of the memory that a relay needs after a long history.

Fault of review case 4 on Kumagawa: the log kept each version of the
configuration until 4,096 changes had come, so that after some 260 versions of
1 MB all instances were killed for their memory at the same time. Names that
others choose must not fill the memory either.
"""

import tracemalloc

import curio
import eliot
import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.relay import (
    KEY_PREFIX,
    ChangeBatch,
    Entry,
    EntryLog,
    RelayDirectory,
    RelayService,
    StoredState,
    StorePosition,
)
from clementinebank.relay._codec import WatchRequest, encode_request
from clementinebank.validation import Address

MEGABYTE = 1_000_000


@pytest.fixture(autouse=True)
def _discard_log():
    """Discard log lines, which eliot would keep."""
    eliot.add_destinations(_discard)
    yield
    eliot.remove_destination(_discard)


def _discard(message):
    return None


def measure(scenario, *arguments):
    """Return the bytes that a scenario leaves allocated, and its result."""

    async def run():
        tracemalloc.start()
        try:
            kept = await scenario(*arguments)
            return tracemalloc.get_traced_memory()[0], kept
        finally:
            tracemalloc.stop()

    with FakeClockKernel() as kernel:
        return kernel.run(run)


async def write_versions(count):
    log = EntryLog()
    await log.load(StoredState((), StorePosition(1), now()))
    for number in range(2, count):
        entry = Entry('op/config', b'%06d' % number * 20_000, number)
        await log.append(ChangeBatch((entry,), StorePosition(number), now()))
    return log


def test_earlier_versions_of_a_value_are_not_kept():
    used, log = measure(write_versions, 200)
    assert used < MEGABYTE
    assert log.changes_since(StorePosition(1)) == (
        log.entries_by_key['op/config'],
    )


async def remove_many(count):
    log = EntryLog(max_removal_bytes=50_000)
    await log.load(StoredState((), StorePosition(1), now()))
    for number in range(2, count):
        key = f'servers/i-{number:0>150}'
        await log.append(
            ChangeBatch(
                (Entry(key, None, number),), StorePosition(number), now()
            )
        )
    return log


def test_removals_are_bounded_in_bytes_and_their_loss_is_told():
    used, log = measure(remove_many, 3000)
    assert used < 2 * 50_000
    assert log.changes_since(StorePosition(1)) is None
    assert len(log.changes_since(StorePosition(2990))) == 9


async def follow_from_many(count):
    service = RelayService(await write_versions(3), max_follower_bytes=50_000)
    for number in range(count):
        request = WatchRequest(
            f'i-{number}',
            Address('127.0.0.1', number + 1),
            StorePosition(2),
            age_s=-1.0,
        )
        await service.handle_watch(encode_request(request))
        await curio.sleep(0.001)
    # Those that asked last.
    assert 20 < service.follower_count() < count
    return service


def test_followers_are_bounded_in_bytes():
    used, _ = measure(follow_from_many, 2000)
    assert used < 4 * 50_000


async def follow_and_leave(count):
    """Followers that come once each, over many hours, beside one that stays.

    The relay has heard nothing from the store, so that each is fresher.
    """
    log = EntryLog()
    await log.load(StoredState((), StorePosition(2), now() - 100))
    service = RelayService(log)
    for number in range(count):
        request = WatchRequest(
            f'i-{number}', Address('127.0.0.1', number + 1), StorePosition(2)
        )
        await service.handle_watch(encode_request(request))
        await curio.sleep(20)
    return service


def test_followers_that_have_left_are_forgotten():
    used, _ = measure(follow_and_leave, 1000)
    assert used < 50_000


async def register_many(count):
    directory = RelayDirectory()
    value = b'{"instance_id": "i", "address": "127.0.0.1:1", "fleet_share": %d}'
    for number in range(count):
        key = f'{KEY_PREFIX}dc-{number:0>150}'
        share = 3 + number % 2
        directory.apply(Entry(key, value % share, number), number / 1000)
        directory.apply(Entry(key, None, number), number / 1000)
    return directory


def test_directory_forgets_data_centres_without_a_relay():
    used, directory = measure(register_many, 9000)
    assert used < 1_000_000
    assert directory.fleet_size(3.0) == 8


def test_size_of_a_state_and_of_its_changes_is_checked():
    async def scenario():
        log = EntryLog(max_state_bytes=50_000)
        assert log.can_load((Entry('a', bytes(40_000), 1),))
        assert not log.can_load((Entry('a', bytes(60_000), 1),))
        await log.load(
            StoredState(
                (Entry('b', bytes(30_000), 1),), StorePosition(1), now()
            )
        )
        assert log.can_hold((Entry('b', bytes(40_000), 2),))
        assert not log.can_hold((Entry('a', bytes(40_000), 2),))
        removal = Entry('b', None, 2)
        assert log.can_hold((removal, Entry('a', bytes(40_000), 2)))

    with FakeClockKernel() as kernel:
        kernel.run(scenario)
