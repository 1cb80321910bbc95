"""Guards against the use of outdated leaf state after a process pause.

During a pause, connections may break and leafs may change their status
without the instance seeing it. After the pause, neither may be used until it
is renewed; measured latencies and drains are kept.
"""

import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.document import (
    Document,
    FleetSettings,
    GroupSettings,
    LeafEndpoint,
    ServiceSettings,
)
from clementinebank.routing import CallOutcome
from clementinebank.server import Instance
from clementinebank.settings import InstanceSettings
from clementinebank.upstream import LeafPool, LeafStatus
from clementinebank.validation import Address

ADDRESS = Address('127.0.0.1', 1)
GROUP = GroupSettings('g', 'north', {'leaf': LeafEndpoint('leaf', ADDRESS, '')})
SERVICES = {
    kind: ServiceSettings(kind, 'team', kind, {'g': GROUP}, 3, 30)
    for kind in ('search', 'booking')
}
DOCUMENT = Document(1, FleetSettings('team', {}), SERVICES)
CALL_S = 0.02


async def _observe_then_pause(kernel, instance, pause_s):
    """Return the leaf states before and after a pause.

    The states are those of one leaf of a search and one of a booking service,
    which have answered a call and reported a status before the pause.
    """
    await instance._update_engines(DOCUMENT)
    await instance.booking_engines.update(DOCUMENT)
    engines = [
        instance.engines_by_service['search'],
        instance.booking_engines.engines_by_service['booking'],
    ]
    instance.loop_monitor.check_pause()
    for engine in engines:
        router = engine.router
        router.on_sent('leaf', now())
        router.on_end('leaf', now(), CALL_S, CallOutcome.GOOD)
        router.on_status('leaf', now(), LeafStatus('draining', 1, ()))
    before = [_leaf_state(engine) for engine in engines]
    kernel.clock.advance(pause_s)
    instance.loop_monitor.check_pause()
    after = [_leaf_state(engine) for engine in engines]
    for engine in engines:
        await engine.stop()
    return before, after


def _leaf_state(engine):
    """Return latency, drain, reported status and generation of the pool.

    A higher generation means that no call uses the older connections.
    """
    leaf = engine.router.leafs_by_id['leaf']
    pool_generation = engine.leaf_pools.pools_by_leaf['leaf']._generation
    return (
        leaf.service_s,
        leaf.is_draining,
        leaf.reported_status,
        pool_generation,
    )


def _check_state_after_pause(pause_s=30, *, is_trusted=False):
    settings = InstanceSettings('entry-0', 'kokura', *[ADDRESS] * 5)
    with FakeClockKernel() as kernel:
        instance = Instance(settings, _NoKeyValue())
        before, after = kernel.run(
            _observe_then_pause, kernel, instance, pause_s
        )
    assert len(before) == 2
    for old, new in zip(before, after, strict=True):
        assert new[:2] == old[:2]
        assert new[1]
        assert (new[2] is not None) == is_trusted
        assert (new[3] == old[3]) == is_trusted


class _NoKeyValue:
    """Placeholder of the key-value service, which these tests do not call."""


def test_pause_makes_status_and_connections_untrusted_and_keeps_latency():
    _check_state_after_pause()


def test_short_delay_keeps_the_trust():
    _check_state_after_pause(1, is_trusted=True)


@pytest.mark.parametrize(
    ('owner', 'name'),
    [(Instance, '_invalidate_state'), (LeafPool, 'invalidate_connections')],
)
def test_check_catches_state_that_stays_trusted(monkeypatch, owner, name):
    monkeypatch.setattr(owner, name, lambda *_: None)
    with pytest.raises(AssertionError):
        _check_state_after_pause()
