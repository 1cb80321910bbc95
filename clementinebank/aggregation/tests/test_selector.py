"""Guards the choice of aggregators.

An instance that asks an aggregator far from the leafs, a paused one or itself
loses time; one that is excluded for good after a short fault overloads the
others.
"""

import math
import random

import pytest

from clementinebank.aggregation import AggregatorSelector
from clementinebank.forwarding import LinkDelays
from clementinebank.forwarding.tests.simulation import (
    SERVICES,
    make_leaf_record,
)
from clementinebank.relay import FleetMember, choose_aggregators
from clementinebank.validation import Address

# dc-0 and dc-2 are in one region, dc-1 is in another.
REGIONS = {'dc-0': 'r-0', 'dc-1': 'r-1', 'dc-2': 'r-0'}
NOW = 1000.0


def member(number, cores=1.0):
    return FleetMember(Address('10.0.0.1', number), cores)


MEMBERS = {
    'dc-0': (member(1, 2.0), member(2)),
    'dc-1': (member(11), member(12)),
    'dc-2': (member(21),),
}


def make_selector(data_centre='dc-2', number=99, leaf_data_centres=(0, 1)):
    selector = AggregatorSelector(
        Address('10.0.0.1', number),
        LinkDelays(data_centre, REGIONS),
        random.Random(1),
    )
    records = [
        make_leaf_record(service, data_centre_number)
        for service in SERVICES
        for data_centre_number in leaf_data_centres
    ]
    selector.update(MEMBERS, records)
    return selector


def ports(selector, now=NOW):
    return [address.port for address, _ in selector.candidates(SERVICES, now)]


def test_nearest_aggregators_in_a_region_that_holds_the_leafs_are_asked():
    assert ports(make_selector())[0] == 21
    assert set(ports(make_selector('dc-0'))) == {1, 2}
    assert set(ports(make_selector('dc-1'))) == {11, 12}


def test_region_holds_the_leafs_although_no_data_centre_has_all():
    selector = make_selector('dc-0', leaf_data_centres=())
    records = [
        make_leaf_record(service, 2 * (number % 2))
        for number, service in enumerate(SERVICES)
    ]
    selector.update(MEMBERS, records)
    assert set(ports(selector)) == {1, 2}
    assert selector.addresses_for(SERVICES) == {
        each.address for each in (*MEMBERS['dc-0'], *MEMBERS['dc-2'])
    }


def test_region_that_loses_some_leafs_keeps_its_aggregators():
    """Otherwise its aggregators close their connections to all leafs."""
    selector = make_selector('dc-0')
    kept = SERVICES[: len(SERVICES) // 2]
    selector.update(
        MEMBERS,
        [
            *(make_leaf_record(service, 0) for service in kept),
            *(make_leaf_record(service, 1) for service in SERVICES),
        ],
    )
    assert set(ports(selector)) == {1, 2}
    assert MEMBERS['dc-0'][0].address in selector.addresses_for(SERVICES)


def test_aggregator_beside_the_leafs_gathers_itself():
    assert not ports(make_selector('dc-0', number=1))


def test_aggregator_in_a_region_without_leafs_asks_another():
    selector = make_selector(number=21, leaf_data_centres=(1,))
    assert set(ports(selector)) == {11, 12}


def test_instance_in_a_region_without_aggregators_gathers_itself():
    selector = make_selector('dc-0')
    selector._members_by_data_centre = {'dc-1': MEMBERS['dc-1']}
    assert not ports(selector)


def test_region_without_most_of_the_services_gathers_nothing():
    selector = make_selector(leaf_data_centres=(1,))
    assert set(ports(selector)) == {11, 12}


def test_failed_aggregator_is_left_out_for_a_growing_time():
    selector = make_selector('dc-0')
    address = MEMBERS['dc-0'][0].address
    first_s = selector.on_failure(address, NOW)
    assert 1 not in ports(selector)
    assert 1 in ports(selector, NOW + first_s)
    assert selector.on_failure(address, NOW) > first_s
    selector.on_success(address)
    assert selector.on_failure(address, NOW) == first_s


def test_far_aggregators_are_asked_while_the_near_ones_are_paused():
    selector = make_selector('dc-0')
    for each in (*MEMBERS['dc-0'], *MEMBERS['dc-2']):
        selector.on_failure(each.address, NOW)
    assert set(ports(selector)) == {11, 12}


def test_requests_spread_by_processors():
    selector = make_selector('dc-0')
    firsts = [ports(selector)[0] for _ in range(600)]
    # Two thirds of the cores are those of the first aggregator.
    assert 0.58 < firsts.count(1) / len(firsts) < 0.75


def test_small_data_centre_has_no_aggregators():
    assert not choose_aggregators([member(number) for number in range(5)])


@pytest.mark.parametrize('size', [6, 12, 33, 370])
def test_aggregators_are_few_and_grow_with_the_data_centre(size):
    members = [member(number) for number in range(size)]
    chosen = choose_aggregators(members)
    assert len(chosen) == max(2, math.ceil(0.15 * size))


def test_large_members_come_first_and_the_choice_is_stable():
    large = [member(100 + number, 2.15) for number in range(2)]
    small = [member(number, 0.516) for number in range(11)]
    chosen = choose_aggregators(large + small)
    assert set(chosen) == set(large)
    chosen = choose_aggregators(small)
    # A member that joins doesn't displace an equal one.
    for number in range(50, 80):
        joined = [*small, member(number, 0.516)]
        assert set(chosen) <= set(choose_aggregators(joined, chosen))


def test_aggregator_outside_the_regions_of_a_request_is_not_asked():
    selector = make_selector('dc-1')
    asked = selector.candidates(SERVICES, NOW, frozenset(('r-0',)))
    assert {address.port for address, _ in asked} <= {1, 2, 21}
    assert asked
    assert not selector.candidates(SERVICES, NOW, frozenset(('r-9',)))


def test_aggregators_and_leafs_of_an_evacuated_data_centre_are_left_out():
    selector = make_selector('dc-1')
    records = [
        make_leaf_record(service, number)
        for service in SERVICES
        for number in (0, 1)
    ]
    selector.update(MEMBERS, records, {'dc-1'})
    assert set(ports(selector)) <= {1, 2, 21}


def test_pauses_of_instances_that_are_gone_are_forgotten():
    selector = make_selector()
    for number in range(50):
        selector.on_failure(Address('127.0.0.1', 5000 + number), NOW)
    selector.update({}, ())
    assert not selector._pauses_by_address
