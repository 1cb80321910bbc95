"""Guards against changes accepted before the record in force is known.

After a start or a pause an instance may have a restored, older record. A change
that it accepted on top of that record could contradict a change in force at
other instances, which they write back later.
"""

import attrs
import curio
import pytest

from clementinebank.clock import now
from clementinebank.distribution._peer_replies import (
    NO_REPLY_WAIT_S,
    ONE_REPLY_WAIT_S,
    PeerReplies,
)
from clementinebank.distribution.tests.network import (
    first_head,
    run_network,
    with_service_change,
)

MARGIN_S = 5


async def _seconds_until_accepting(node, limit_s):
    start = now()
    while now() - start < limit_s:
        if node.accepts_changes():
            return now() - start
        await curio.sleep(0.05)
    return None


async def _start_after_a_restore(network, outage_s=ONE_REPLY_WAIT_S + 1):
    """Start an instance while only it reaches the restored service.

    Its peers have a change in force that the service lost. The instance must
    not accept changes before it has that change.
    """
    await network.start(first_head())
    await network.wait_until_stable()
    held = with_service_change(first_head(), 'desk', 100, 'held', at=2e9)
    await network.nodes[0].follower.apply_written_head(held)
    assert await network.wait_for_revision(2, ONE_REPLY_WAIT_S) is not None
    peers = network.nodes
    for peer in peers:
        peer.key_value.cut = True
    other = with_service_change(first_head(), 'desk', 300, 'other')
    await network.key_value.store(other)
    started = network.add(network.count)
    await started.start_incarnation()
    # The new instance reads the service before any peer replies.
    started.exchange.state.apply(other, 'service')
    end = now() + outage_s
    while now() < end:
        _check_refuses_or_holds(started, 'held')
        await curio.sleep(0.01)
    for peer in peers:
        peer.key_value.cut = False
    assert await _seconds_until_accepting(started, 3 * ONE_REPLY_WAIT_S)
    _check_refuses_or_holds(started, 'held')


def _check_refuses_or_holds(node, change_id):
    if node.accepts_changes():
        assert node.exchange.state.head.find_change(change_id) is not None


@pytest.mark.parametrize('count', [2, 7, 40])
def test_started_instance_accepts_changes_with_those_of_its_peers(count):
    run_network(_start_after_a_restore, count=count)


def test_peers_with_another_record_block_beyond_the_bounds():
    async def scenario(network):
        await _start_after_a_restore(network, NO_REPLY_WAIT_S + MARGIN_S)

    run_network(scenario, count=2)


class KnownAtOnce(PeerReplies):
    """Broken variant that accepts changes before any peer replied."""

    def is_record_known(self, view, time):
        return True


class AnyAnswerCounts(PeerReplies):
    """Broken variant that counts peers with a different record."""

    def on_reply(self, reply, sent_at, state):
        same = attrs.evolve(reply, digest=state.digest)
        super().on_reply(same, sent_at, state)


@pytest.mark.parametrize('broken', [KnownAtOnce, AnyAnswerCounts])
def test_negative_control_accepting_too_early_is_caught(broken):
    with pytest.raises(AssertionError):
        run_network(_start_after_a_restore, count=2, peer_replies_class=broken)


class DifferenceIgnored(PeerReplies):
    """Broken variant that stops waiting for peers with a different record."""

    def on_reply(self, reply, sent_at, state):
        super().on_reply(reply, sent_at, state)
        self.differing_ids.clear()


def test_negative_control_ignored_difference_is_caught():
    async def scenario(network):
        await _start_after_a_restore(network, NO_REPLY_WAIT_S + MARGIN_S)

    with pytest.raises(AssertionError):
        run_network(scenario, count=2, peer_replies_class=DifferenceIgnored)


def test_fleet_of_one_accepts_changes_after_it_read_the_list():
    async def scenario(network):
        await network.start()
        (node,) = network.nodes
        return await _seconds_until_accepting(node, MARGIN_S)

    assert run_network(scenario, count=1) is not None


def test_unreadable_list_does_not_block_for_ever():
    async def scenario(network):
        await network.start()
        network.instance_list.down = True
        (node,) = network.nodes
        return await _seconds_until_accepting(node, 2 * NO_REPLY_WAIT_S)

    waited_s = run_network(scenario, count=1)
    assert NO_REPLY_WAIT_S <= waited_s <= NO_REPLY_WAIT_S + MARGIN_S


@pytest.mark.parametrize(
    ('alive', 'expected_s'), [(5, ONE_REPLY_WAIT_S), (0, NO_REPLY_WAIT_S)]
)
def test_dead_members_do_not_block_for_ever(alive, expected_s):
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        for node in network.nodes[alive:]:
            await node.pause()
        started = network.add(network.count)
        await started.start_incarnation()
        return await _seconds_until_accepting(started, 2 * NO_REPLY_WAIT_S)

    waited_s = run_network(scenario, count=6)
    assert expected_s <= waited_s <= expected_s + MARGIN_S


def test_live_fleet_accepts_changes_without_waiting_for_the_bound():
    async def scenario(network):
        await network.start(first_head())
        waits = [
            await _seconds_until_accepting(node, ONE_REPLY_WAIT_S)
            for node in network.nodes
        ]
        return [wait for wait in waits if wait is not None]

    waits = run_network(scenario, count=7)
    assert len(waits) == 7
    assert sum(waits) < ONE_REPLY_WAIT_S


def test_paused_instance_accepts_changes_after_its_resumption():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        node = network.nodes[0]
        assert node.accepts_changes()
        await node.pause()
        await curio.sleep(MARGIN_S)
        assert not node.accepts_changes()
        await node.resume()
        waited_s = await _seconds_until_accepting(node, ONE_REPLY_WAIT_S + 1)
        assert waited_s is not None

    run_network(scenario, count=7)
