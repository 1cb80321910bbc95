"""Guards against failures of R8 in a fleet.

A change may not reach every instance within 12 s, the target of the design,
for example because of a partition or an outage. A restored older head may
revert it. Too many instances may call the key-value service.
"""

import attrs
import curio
import pytest

from clementinebank.distribution import DocumentState
from clementinebank.distribution._head_reader import HeadReader
from clementinebank.distribution.tests.network import (
    DATA_CENTRES,
    first_head,
    run_network,
    with_service_change,
)
from clementinebank.document import HeadRecord, decode_head
from clementinebank.membership import MembershipView, MemberState

TARGET_S = 12
WATCHERS = 2


async def _accept(network, node, head):
    """Store a head and put it in force at one instance.

    This is what the operators' route does after it accepted a change.
    """
    await network.key_value.store(head)
    await node.follower.apply_written_head(head)


@pytest.mark.parametrize('count', [7, 60, 200])
def test_change_reaches_all_while_service_fails_after_swap(count):
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        head = with_service_change(first_head(), 'desk', 100)
        network.key_value.down = True
        await network.nodes[3].follower.apply_written_head(head)
        assert await network.wait_for_revision(2, TARGET_S) is not None
        assert not network.revision_decreases

    run_network(scenario, count=count)


@pytest.mark.parametrize('drop', [0, 0.2])
def test_change_by_another_writer_reaches_all(drop):
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        head = first_head()
        for deadline_ms in range(100, 105):
            head = with_service_change(head, 'desk', deadline_ms)
            await network.key_value.store(head)
            assert (
                await network.wait_for_revision(head.revision, TARGET_S)
                is not None
            )
        assert not network.revision_decreases

    run_network(scenario, count=60, drop=drop)


def test_instance_cut_off_from_service_follows_and_is_confirmed():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        view = network.nodes[0].exchange.view
        watcher = view.watchers('north', curio.kernel.time.monotonic())[0]
        cut = network.nodes_by_id[watcher]
        cut.key_value.cut = True
        head = with_service_change(first_head(), 'desk', 100)
        await network.key_value.store(head)
        assert await network.wait_for_revision(2, TARGET_S) is not None
        await curio.sleep(10)
        for _ in range(40):
            assert cut.currency() != 'isolated'
            await curio.sleep(0.25)

    run_network(scenario, count=30)


def test_partitioned_data_centre_refuses_and_catches_up():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        for node in network.in_data_centre('south'):
            node.key_value.cut = True
        network.partition(('north', 'central'), ('south',))
        head = with_service_change(first_head(), 'desk', 100)
        await network.key_value.store(head)
        others = [n for n in network.nodes if n.data_centre != 'south']
        assert await network.wait_for_revision(2, TARGET_S, others) is not None
        await curio.sleep(TARGET_S)
        assert {n.currency() for n in others} == {'confirmed'}
        south = network.in_data_centre('south')
        assert {n.revision for n in south} == {1}
        assert {n.currency() for n in south} == {'isolated'}
        assert not any(
            n.exchange.may_serve(curio.kernel.time.monotonic()) for n in south
        )
        network.heal()
        assert await network.wait_for_revision(2, TARGET_S) is not None
        await curio.sleep(TARGET_S)
        assert {n.currency() for n in network.nodes} <= {
            'confirmed',
            'presumed',
        }
        assert not network.revision_decreases

    run_network(scenario, count=45)


def test_isolated_instances_serve_if_the_document_says_so():
    async def scenario(network):
        await network.start(first_head('serve'))
        await network.wait_until_stable()
        network.key_value.down = True
        network.partition(*((name,) for name in DATA_CENTRES))
        await curio.sleep(20)
        node = network.nodes[0]
        assert node.currency() == 'isolated'
        assert node.exchange.may_serve(curio.kernel.time.monotonic())

    run_network(scenario, count=21)


def test_two_data_centres_partitioned_and_healed():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        network.partition(('north',), ('central', 'south'))
        network.key_value.down = True
        head = with_service_change(first_head(), 'desk', 100)
        await network.in_data_centre('north')[0].follower.apply_written_head(
            head
        )
        north = network.in_data_centre('north')
        assert await network.wait_for_revision(2, TARGET_S, north) is not None
        await curio.sleep(30)
        network.heal()
        assert await network.wait_for_revision(2, TARGET_S) is not None
        assert not network.revision_decreases

    run_network(scenario, count=45)


def test_outage_of_the_service_alone_leaves_instances_presumed():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        network.key_value.down = True
        await curio.sleep(TARGET_S)
        for _ in range(60):
            assert {n.currency() for n in network.nodes} == {'presumed'}
            await curio.sleep(1)
        network.key_value.down = False
        await curio.sleep(TARGET_S)
        assert {n.currency() for n in network.nodes} == {'confirmed'}

    run_network(scenario, count=45)


def test_restored_older_head_is_put_back():
    async def scenario(network):
        old = first_head()
        head = with_service_change(
            with_service_change(old, 'desk', 100), 'yard', 200
        )
        await network.start(head)
        await network.wait_until_stable(3)
        await network.key_value.store(old)
        await curio.sleep(TARGET_S)
        # The record that is written back gets a higher revision than both.
        assert network.revisions() == [4]
        stored = decode_head(network.key_value.value)
        assert stored.texts_by_section == head.texts_by_section
        assert not network.revision_decreases

    run_network(scenario, count=30)


def test_change_on_top_of_restored_head_is_kept():
    async def scenario(network):
        old = first_head()
        head = with_service_change(
            with_service_change(old, 'desk', 100), 'yard', 200
        )
        await network.start(head)
        await network.wait_until_stable(3)
        network.key_value.down = True
        await network.key_value.store(
            with_service_change(
                old, 'orders', 300, change_id='on-top', at=1_800_000_100
            )
        )
        await curio.sleep(5)
        network.key_value.down = False
        assert await network.wait_for_revision(4, TARGET_S) is not None
        stored = decode_head(network.key_value.value)
        assert set(stored.sections_by_name) == {
            'fleet',
            'service.desk',
            'service.yard',
            'service.orders',
        }
        assert network.revisions() == [4]
        assert not network.revision_decreases

    run_network(scenario, count=30)


def test_wiped_service_receives_the_document_again():
    async def scenario(network):
        head = with_service_change(first_head(), 'desk', 100)
        await network.start(head)
        await network.wait_until_stable(2)
        network.key_value.value = b''
        network.key_value.version = 0
        await curio.sleep(TARGET_S)
        stored = decode_head(network.key_value.value)
        assert stored.texts_by_section == head.texts_by_section

    run_network(scenario, count=12)


@pytest.mark.parametrize('value', [b'not json', None])
def test_invalid_head_keeps_the_last_valid_one(value):
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        bad = with_service_change(first_head(), 'desk', -5)
        await network.key_value.store(value or bad)
        await curio.sleep(TARGET_S)
        assert network.revisions() == [1]
        alarms = [n for n in network.nodes if n.exchange.state.alarm]
        assert len(alarms) >= len(DATA_CENTRES)
        good = attrs.evolve(
            with_service_change(first_head(), 'desk', 100), revision=3
        )
        await network.key_value.store(good)
        assert await network.wait_for_revision(3, TARGET_S) is not None
        assert not any(n.exchange.state.alarm for n in network.nodes)

    run_network(scenario, count=12)


def test_killed_and_paused_instances_do_not_stop_a_change():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        stopped = network.nodes[::4]
        for node in stopped:
            await node.pause()
        head = with_service_change(first_head(), 'desk', 100)
        await network.key_value.store(head)
        assert await network.wait_for_revision(2, TARGET_S) is not None
        for node in stopped[::2]:
            await node.start_incarnation()
        for node in stopped[1::2]:
            await node.resume()
        assert await network.wait_for_revision(2, TARGET_S) is not None
        assert len(network.running) == network.count
        assert not network.revision_decreases

    run_network(scenario, count=60)


def test_resumed_instance_is_isolated_until_a_peer_replies():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        node = network.nodes[0]
        await node.pause()
        network.key_value.down = True
        await curio.sleep(3)
        assert node.currency() == 'isolated'
        await node.resume()
        await curio.sleep(0.1)
        assert node.currency() == 'isolated'
        await curio.sleep(TARGET_S)
        assert node.currency() == 'presumed'

    run_network(scenario, count=30)


def test_starting_instance_receives_the_document_from_peers_in_an_outage():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        network.key_value.down = True
        node = network.add(network.count)
        await node.start_incarnation()
        assert await network.wait_for_revision(1, TARGET_S) is not None

    run_network(scenario, count=30)


def test_leaving_state_overrides_the_list_until_a_restart():
    run_network(_leave_and_restart, count=30)


async def _leave_and_restart(network):
    await network.start(first_head())
    await network.wait_until_stable()
    node, observer = network.nodes[4], network.nodes[8]
    await node.follower.announce_leaving()
    await curio.sleep(6)
    await node.pause()
    for _ in range(60):
        member = observer.exchange.view.members_by_id[node.instance_id]
        assert member.state is not MemberState.LIVE
        await curio.sleep(0.5)
    assert member.state is MemberState.GONE
    await node.start_incarnation()
    await curio.sleep(10)
    member = observer.exchange.view.members_by_id[node.instance_id]
    assert member.state is MemberState.LIVE


def test_instance_list_outage_and_lag_do_not_remove_members():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        network.instance_list.frozen = await _first_listed(network)
        late = network.add(network.count)
        await late.start_incarnation()
        await curio.sleep(40)
        network.instance_list.down = True
        await curio.sleep(90)
        for node in network.nodes:
            states = {
                each.state for each in node.exchange.view.members_by_id.values()
            }
            assert states == {MemberState.LIVE}
        assert late.currency() == 'confirmed'

    run_network(scenario, count=21)


async def _first_listed(network):
    listed = await network.instance_list.instances()
    return listed.ok_value


@pytest.mark.parametrize('count', [7, 90])
def test_two_watchers_per_data_centre(count):
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        network.watching_max.clear()
        before = network.key_value.calls['watch']
        await curio.sleep(60)
        assert max(network.watching_max.values()) <= WATCHERS
        per_data_centre = (network.key_value.calls['watch'] - before) / 3
        # Each watcher makes one call a second, because a watch waits that long.
        assert per_data_centre <= WATCHERS * 60 * 1.05

    run_network(scenario, count=count)


def test_killed_watchers_are_replaced():
    async def scenario(network):
        await network.start(first_head())
        await network.wait_until_stable()
        view = network.nodes[0].exchange.view
        time = curio.kernel.time.monotonic()
        for name in DATA_CENTRES:
            for watcher in view.watchers(name, time):
                await network.nodes_by_id[watcher].pause()
        head = with_service_change(first_head(), 'desk', 100)
        await network.key_value.store(head)
        assert await network.wait_for_revision(2, TARGET_S) is not None

    run_network(scenario, count=60)


class LastReadReader(HeadReader):
    """Broken variant that puts a restored older head in force."""

    async def _write_back(self, restored, version, read_at):
        self.exchange.state.apply(restored, 'service')
        return True


class LastReadState(DocumentState):
    """Broken variant that puts the head read last in force."""

    def apply(self, head, source):
        if head.revision < self.head.revision:
            self.head = HeadRecord()
        return super().apply(head, source)

    def apply_delta(self, delta, source):
        if delta.revision < self.head.revision:
            self.head = HeadRecord()
        return super().apply_delta(delta, source)


def test_negative_control_head_read_last_is_caught():
    async def scenario(network):
        old = first_head()
        head = with_service_change(
            with_service_change(old, 'desk', 100), 'yard', 200
        )
        await network.start(head)
        await network.wait_until_stable(3)
        await network.key_value.store(old)
        await curio.sleep(TARGET_S)
        return network.revision_decreases

    options = {'state_class': LastReadState, 'reader_class': LastReadReader}
    assert run_network(scenario, count=12, **options)


class IncarnationIgnored(MembershipView):
    """Broken variant that keeps the state of an instance over its restart."""

    def _merge_other(self, report, heard_at):
        entry = self.entries_by_id.get(report.instance_id)
        if entry is not None:
            incarnation = entry.member.incarnation
            report = attrs.evolve(report, incarnation=incarnation)
        super()._merge_other(report, heard_at)


def test_negative_control_ignored_incarnations_are_caught():
    with pytest.raises(AssertionError):
        run_network(_leave_and_restart, count=30, view_class=IncarnationIgnored)
