"""Guards the news about leaving leafs against getting lost on the way.

Every instance must hear of a departure that one of them has heard, also if one
message is lost, one relay starts anew or an instance joins later, while the
registry still says that the leaf is ready.
"""

import attrs
import curio
import pytest

from clementinebank.clock import FakeClockKernel, now, run_before
from clementinebank.departures import DepartureAnnouncer, decode_news
from clementinebank.departures import _announcer as announcer_module
from clementinebank.leafs import Departures, LeafDirectory, LeafRecord
from clementinebank.rpc import RpcProtocolError
from clementinebank.validation import Address

RECORD = LeafRecord('a', 7, 3, 's', Address('127.0.0.1', 1), 'dc-1', 2)
DELAY_S = 0.01
# Data centres, each with a relay, and followers of each relay.
RELAY_COUNT = 3
FOLLOWER_COUNT = 4
# Time within which every instance must have heard of a departure.
BOUND_S = 3.0


@attrs.define(eq=False)
class FakeChannel:
    fleet: object
    address: Address

    async def call_before(self, deadline, path, payload, decode):
        return decode(await run_before(deadline, self._call, payload))

    async def close(self):
        return None

    async def _call(self, payload):
        self.fleet.message_count += 1
        target = self.fleet.relays_by_address[self.address]
        await curio.sleep(DELAY_S)
        if target.is_dead:
            raise ConnectionRefusedError('no process')
        return await target.announcer.handle_tell(payload)


@attrs.define(eq=False)
class Instance:
    fleet: object
    relay_address: Address
    address: Address
    is_dead: bool = False
    directory: LeafDirectory = attrs.field(init=False)
    announcer: DepartureAnnouncer = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Start as a new process."""
        self.restart()

    def restart(self):
        self.directory = LeafDirectory(5.0)
        self.directory.register(RECORD)
        self.announcer = DepartureAnnouncer(
            self.address,
            self.directory,
            self._find_listeners,
            self.on_leaving,
            self._wake_followers,
            lambda address: FakeChannel(self.fleet, address),
        )
        self.is_dead = False

    @property
    def has_heard(self):
        return self.directory.records_by_id['a'].is_draining

    def on_leaving(self, incarnation_id, is_told_on):
        return self.directory.on_leaving(
            incarnation_id, now(), is_told_on=is_told_on
        )

    def _find_listeners(self):
        if self.address == self.relay_address:
            return set(self.fleet.relays_by_address)
        return {self.relay_address}

    async def _wake_followers(self):
        await curio.spawn(self.fleet.pass_on, self, daemon=True)


@attrs.define(eq=False)
class Fleet:
    instances: list = attrs.Factory(list)
    message_count: int = 0

    @property
    def relays_by_address(self):
        return {
            each.address: each
            for each in self.instances
            if each.address == each.relay_address
        }

    async def start(self):
        for relay in range(1, 1 + RELAY_COUNT):
            for number in range(1 + FOLLOWER_COUNT):
                instance = Instance(
                    self,
                    Address('127.0.0.1', relay),
                    Address('127.0.0.1', relay + 100 * number),
                )
                self.instances.append(instance)
                await curio.spawn(self._run, instance, daemon=True)

    async def _run(self, instance):
        while True:
            await curio.sleep(0.1)
            if not instance.is_dead:
                await instance.announcer.update()

    async def pass_on(self, relay):
        """Send notices to the followers of a relay, as its replies do."""
        if relay.address not in self.relays_by_address:
            return
        notice = relay.announcer.encode_notice()
        await curio.sleep(DELAY_S)
        for follower in self.instances:
            if follower.relay_address == relay.address and not follower.is_dead:
                follower.announcer.apply_notice(notice)


def run_fleet(scenario):
    async def run():
        fleet = Fleet()
        await fleet.start()
        await scenario(fleet)
        return fleet

    with FakeClockKernel() as kernel:
        return kernel.run(run)


def hear(instance):
    assert instance.on_leaving(RECORD.incarnation_id, is_told_on=True)


def check_every_instance_hears_of_it():
    async def scenario(fleet):
        hear(fleet.instances[-1])
        await curio.sleep(1)

    fleet = run_fleet(scenario)
    assert all(each.has_heard for each in fleet.instances)
    # One message to the own relay, one from there to each other relay.
    assert fleet.message_count <= RELAY_COUNT


def check_relay_tells_what_it_heard_from_the_leaf():
    async def scenario(fleet):
        hear(fleet.instances[0])
        await curio.sleep(1)

    fleet = run_fleet(scenario)
    assert all(each.has_heard for each in fleet.instances)


def check_relay_that_is_down_for_a_second_is_told_again():
    async def scenario(fleet):
        fleet.instances[0].is_dead = True
        hear(fleet.instances[1])
        await curio.sleep(1)
        fleet.instances[0].restart()
        await curio.sleep(BOUND_S)

    fleet = run_fleet(scenario)
    assert all(each.has_heard for each in fleet.instances)


def check_news_wait_for_the_first_relay():
    async def scenario(fleet):
        relays = [fleet.instances.pop(0)]
        hear(fleet.instances[0])
        fleet.instances[0].announcer.find_listeners = lambda: {
            each.address for each in relays if each in fleet.instances
        }
        await curio.sleep(1)
        fleet.instances.extend(relays)
        await curio.sleep(1)

    fleet = run_fleet(scenario)
    assert all(each.has_heard for each in fleet.instances)


def check_instance_that_joins_later_hears_of_it():
    async def scenario(fleet):
        hear(fleet.instances[1])
        await curio.sleep(60)
        fleet.instances[-1].restart()
        await fleet.pass_on(fleet.instances[-1 - FOLLOWER_COUNT])

    fleet = run_fleet(scenario)
    assert fleet.instances[-1].has_heard


def check_many_at_once_all_arrive():
    async def scenario(fleet):
        for number in range(250):
            fleet.instances[1].on_leaving(f'b{number}@1', is_told_on=True)
        await curio.sleep(1)

    fleet = run_fleet(scenario)
    for relay in fleet.relays_by_address.values():
        assert len(relay.directory.departures.heard_at_by_incarnation) == 250


CHECKS = [each for name, each in globals().items() if name.startswith('check_')]


@pytest.mark.parametrize('check', CHECKS, ids=lambda check: check.__name__)
def test_announcer(check):
    check()


BROKEN = {
    check_every_instance_hears_of_it: (
        DepartureAnnouncer,
        'encode_notice',
        lambda announcer: b'',
    ),
    check_relay_tells_what_it_heard_from_the_leaf: (
        DepartureAnnouncer,
        '_tell',
        lambda *_: curio.sleep(0),
    ),
    check_relay_that_is_down_for_a_second_is_told_again: (
        announcer_module,
        'TOLD_TIME_S',
        0.4,
    ),
    check_news_wait_for_the_first_relay: (
        Departures,
        'untold',
        property(lambda departures: {'b@1'}, lambda departures, told: None),
    ),
    check_instance_that_joins_later_hears_of_it: (
        LeafDirectory,
        'registered_departures',
        lambda directory: list(directory.departures.untold),
    ),
    check_many_at_once_all_arrive: (announcer_module, 'MAX_TOLD', 1000),
}


@pytest.mark.parametrize(
    ('check', 'broken'), BROKEN.items(), ids=lambda each: str(each)[:60]
)
def test_broken_variant_is_caught(check, broken, monkeypatch):
    monkeypatch.setattr(*broken)
    with pytest.raises(AssertionError):
        check()


@pytest.mark.parametrize('payload', [b'\x7a\x03abc', b'\x7a\x05ab', b'\xff'])
def test_malformed_news_name_the_problem(payload):
    with pytest.raises(RpcProtocolError, match='incarnation_ids|malformed'):
        decode_news(payload)
