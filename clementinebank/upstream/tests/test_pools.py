"""Guards the status probes and the connections of leaf pools.

A lost probe must not delay the next one, a draining leaf must lose its
connections without losing a reply, and after a pause of the process neither
old connections nor running probes may be used.
"""

import json

import attrs
import curio
import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.document import LeafEndpoint
from clementinebank.http import HttpRequest, HttpResponse
from clementinebank.upstream import LeafCall, LeafPool, LeafPools
from clementinebank.validation import Address

LEAF = LeafEndpoint('leaf', Address('127.0.0.1', 1), 'dc')
CALL_S = 0.2
MAX_CONNECTIONS = 3


@attrs.define(eq=False)
class _Leaf:
    """Simulated leaf with a record of its connections and callbacks.

    ``probe_s`` is the time in seconds until it answers a probe.
    """

    state: str = 'serving'
    probe_s: float = 0
    open_connections: set = attrs.Factory(set)
    connects: int = 0
    connection_by_call: dict = attrs.Factory(dict)
    probes: list = attrs.Factory(list)
    statuses: list = attrs.Factory(list)
    lost: list = attrs.Factory(list)
    removed: list = attrs.Factory(list)
    replies: list = attrs.Factory(list)

    def pools(self):
        return LeafPools(
            lambda leaf_id, status, at: self.statuses.append(status.state),
            self.lost.append,
            self.removed.append,
            lambda leaf, max_connections: _Pool(
                leaf, max_connections, fake_leaf=self
            ),
        )

    async def answer(self, message):
        if message.method == 'GET':
            self.probes.append(now())
            await curio.sleep(self.probe_s)
        else:
            await curio.sleep(CALL_S)
        body = {'state': self.state, 'load': 0, 'snapshots': []}
        headers = {'request-id': message.headers['request-id']}
        return HttpResponse(200, headers, json.dumps(body).encode())

    async def record_reply(self, reply):
        self.replies.append(reply)


@attrs.define(eq=False)
class _Connection:
    """Connection to a simulated leaf; each connect gets a new number."""

    leaf: _Leaf
    number: int = 0
    message: HttpRequest = None
    local_port: int = 1

    @property
    def is_reusable(self):
        return self.number in self.leaf.open_connections

    async def connect(self):
        self.leaf.connects += 1
        self.number = self.leaf.connects
        self.leaf.open_connections.add(self.number)

    async def send(self, message):
        self.message = message
        name = message.headers['request-id']
        self.leaf.connection_by_call[name] = self.number

    async def receive(self):
        return await self.leaf.answer(self.message)

    async def close(self):
        self.leaf.open_connections.discard(self.number)


@attrs.define(eq=False)
class _Pool(LeafPool):
    """Real pool over connections to a simulated leaf."""

    fake_leaf: _Leaf = None

    def _new_connection(self):
        return _Connection(self.fake_leaf)


def _run_scenario(scenario, leaf):
    """Run a scenario over the pools of a leaf on a simulated clock."""

    async def run():
        pools = leaf.pools()
        await pools.update({'leaf': LEAF}, MAX_CONNECTIONS)
        await scenario(pools)

    with FakeClockKernel() as kernel:
        kernel.run(run)
    return leaf


async def _call(pools, leaf, *names):
    """Submit calls at the same time, so that each needs its own connection."""
    for name in names:
        request = HttpRequest('POST', '/v1/search', {'request-id': name})
        call = LeafCall(name, request, now() + 1, leaf.record_reply)
        await pools.pools_by_leaf['leaf'].submit(call)


def test_leaf_is_probed_each_second():
    async def scenario(pools):
        await curio.sleep(5.5)

    leaf = _run_scenario(scenario, _Leaf())
    gaps = [
        later - earlier
        for earlier, later in zip(leaf.probes, leaf.probes[1:], strict=False)
    ]
    assert gaps == pytest.approx([1] * 5, abs=0.01)
    assert leaf.statuses == ['serving'] * 6
    assert leaf.connects == 1


def test_lost_probe_is_reported_and_probing_goes_on():
    async def scenario(pools):
        await curio.sleep(2.5)
        leaf.probe_s = 0
        await curio.sleep(2)

    leaf = _Leaf(probe_s=60)
    _run_scenario(scenario, leaf)
    # Three probes in 2.5 s: a lost one does not delay the next.
    assert leaf.lost == ['leaf'] * 3
    assert 'serving' in leaf.statuses


def test_removed_leaf_is_not_probed_and_its_late_status_is_ignored():
    async def scenario(pools):
        await curio.sleep(0.1)
        await pools.update({}, MAX_CONNECTIONS)
        await curio.sleep(5)
        assert not pools.pools_by_leaf

    leaf = _run_scenario(scenario, _Leaf(probe_s=0.5))
    assert leaf.removed == ['leaf']
    assert len(leaf.probes) == 1
    assert not leaf.statuses
    assert not leaf.open_connections


def test_changed_share_keeps_the_open_connections():
    async def scenario(pools):
        pool = pools.pools_by_leaf['leaf']
        await _call(pools, leaf, 'a')
        await curio.sleep(0.5)
        connects = leaf.connects
        await pools.update({'leaf': LEAF}, MAX_CONNECTIONS + 1)
        assert not pool.is_retired
        assert pool.max_connections == MAX_CONNECTIONS + 1
        await _call(pools, leaf, 'b')
        await curio.sleep(0.5)
        assert leaf.connects == connects

    leaf = _Leaf()
    _run_scenario(scenario, leaf)
    assert all(reply.outcome.is_ok() for reply in leaf.replies)


def test_smaller_share_closes_surplus_connections_after_their_calls():
    async def scenario(pools):
        names = [f'call-{number}' for number in range(MAX_CONNECTIONS)]
        await _call(pools, leaf, *names)
        await curio.sleep(0.01)
        await pools.update({'leaf': LEAF}, 1)
        await curio.sleep(0.5)
        assert len(leaf.open_connections) <= 1

    leaf = _Leaf()
    _run_scenario(scenario, leaf)
    assert len(leaf.replies) == MAX_CONNECTIONS
    assert all(reply.outcome.is_ok() for reply in leaf.replies)


def test_pool_without_a_whole_share_keeps_no_connection():
    async def scenario(pools):
        pools.pools_by_leaf['leaf'].keeps_connections = False
        await _call(pools, leaf, 'a')
        await curio.sleep(0.5)
        assert not leaf.open_connections
        await _call(pools, leaf, 'b')
        await curio.sleep(0.5)

    leaf = _Leaf()
    _run_scenario(scenario, leaf)
    assert [reply.call_id for reply in leaf.replies] == ['a', 'b']


def _check_drain():
    """Drain with one call in flight and two connections idle."""

    async def scenario(pools):
        await _call(pools, leaf, 'a', 'b')
        await curio.sleep(0.9)
        leaf.state = 'draining'
        await _call(pools, leaf, 'late')
        await curio.sleep(0.15)
        # The probe has reported the drain: the two idle connections are
        # closed, and the one with the running call is still open.
        assert len(leaf.open_connections) == 1
        await curio.sleep(0.1)
        assert not leaf.open_connections

    leaf = _Leaf()
    _run_scenario(scenario, leaf)
    assert [reply.call_id for reply in leaf.replies] == ['a', 'b', 'late']
    assert all(reply.outcome.is_ok() for reply in leaf.replies)


def test_drain_in_the_status_closes_connections_after_their_replies():
    _check_drain()


def test_check_catches_connections_kept_in_a_drain(monkeypatch):
    async def close_idle(self):
        """Leave the connections open."""

    monkeypatch.setattr(LeafPool, 'close_idle', close_idle)
    with pytest.raises(AssertionError):
        _check_drain()


def test_call_after_a_drain_signal_still_finds_a_connection():
    async def scenario(pools):
        await _call(pools, leaf, 'a', 'b', 'c')
        await curio.sleep(0.5)
        await pools.pools_by_leaf['leaf'].close_idle()
        await _call(pools, leaf, 'd', 'e', 'f', 'g')
        await curio.sleep(0.9)

    leaf = _Leaf()
    _run_scenario(scenario, leaf)
    assert len(leaf.replies) == 7
    assert all(reply.outcome.is_ok() for reply in leaf.replies)


def _check_invalidation():
    """Check that later calls use none of the connections open before."""

    async def scenario(pools):
        await _call(pools, leaf, 'a', 'b')
        await curio.sleep(0.5)
        old = set(leaf.open_connections)
        await _call(pools, leaf, 'c')
        await curio.sleep(0.1)
        pools.invalidate_connections()
        await _call(pools, leaf, 'd', 'e')
        await curio.sleep(0.5)
        used = {leaf.connection_by_call[name] for name in 'de'}
        assert leaf.connection_by_call['c'] in old
        assert not used & old

    leaf = _Leaf()
    _run_scenario(scenario, leaf)
    assert all(reply.outcome.is_ok() for reply in leaf.replies)
    assert len(leaf.replies) == 5


def test_distrusted_connections_carry_no_further_call():
    _check_invalidation()


def test_check_catches_connections_that_stay_trusted(monkeypatch):
    monkeypatch.setattr(LeafPool, 'invalidate_connections', lambda self: None)
    with pytest.raises(AssertionError):
        _check_invalidation()


@pytest.mark.parametrize('probe_s', [0.5, 60])
def test_probe_of_before_a_pause_tells_nothing(probe_s):
    async def scenario(pools):
        await curio.sleep(0.1)
        pools.invalidate_connections()
        # The first probe after the pause begins at 1 s and could be reported as
        # lost at 1.9 s only, when this scenario has ended.
        await curio.sleep(1.5)

    leaf = _run_scenario(scenario, _Leaf(probe_s=probe_s))
    assert leaf.probes
    assert not leaf.lost
    assert len(leaf.statuses) == (probe_s < 1)
