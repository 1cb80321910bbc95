"""Simulated data centres whose instances place calls on each other's leafs."""

import heapq
import itertools
import math
import random

import attrs

from clementinebank.placement import (
    GroupValue,
    PlacementOption,
    create_placement,
)

GROUP = 'desk'


@attrs.frozen
class Zone:
    """Leafs and demand of one data centre.

    Parameters
    ----------
    leafs : int
        Leafs of the group in the data centre.
    requests_per_s : callable
        Demand at a time in seconds since the start.
    slowness : float
        Multiple of the usual service time of its leafs.
    """

    leafs: int
    requests_per_s: object
    slowness: float = 1


@attrs.frozen
class Outcome:
    """Call that has ended, with its data centre and that of its leaf."""

    arrived_s: float
    elapsed_s: float
    zone: int
    leaf_zone: int


@attrs.define(eq=False)
class _Leaf:
    leaf_id: str
    zone: int
    running: int = 0
    queue: list = attrs.Factory(list)


@attrs.define(eq=False, slots=False)
class ZoneSimulation:
    """Queues at leafs, and calls placed by what the instances last heard.

    Each data centre has one instance. It knows the load that a leaf stated in
    its last response, and its own calls in flight.
    """

    zones: tuple
    settings: object
    seed: int = 1
    work_s: float = 0.06
    slots: int = 2
    delay_s: float = 0.004
    objective_s: float = 0.3
    duration_s: float = 30.0
    now: float = 0
    outcomes: list = attrs.Factory(list)
    shares: list = attrs.Factory(list)

    def __attrs_post_init__(self):
        """Create the leafs and the placement of each data centre."""
        self.rng = random.Random(self.seed)
        # Of their own, so that all policies get the same requests.
        self.demand_rngs = [
            random.Random(f'{self.seed} {zone}')
            for zone in range(len(self.zones))
        ]
        self.leafs = {
            f'{zone}-{number}': _Leaf(f'{zone}-{number}', zone)
            for zone, each in enumerate(self.zones)
            for number in range(each.leafs)
        }
        self.placements = []
        for _ in self.zones:
            placement = create_placement(self.settings)
            if placement is not None:
                placement.set_values({GROUP: GroupValue(self.objective_s)})
            self.placements.append(placement)
        self.stated = [dict.fromkeys(self.leafs, 0) for _ in self.zones]
        self.in_flight = [dict.fromkeys(self.leafs, 0) for _ in self.zones]
        self._events = []
        self._numbers = itertools.count()

    def run(self):
        for zone in range(len(self.zones)):
            self._schedule_arrival(zone)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def in_time(self, zone=None, start_s=2.0):
        """Return the share of the calls that ended within the objective."""
        counted = [
            each
            for each in self.outcomes
            if each.arrived_s >= start_s and zone in {None, each.zone}
        ]
        timely = [
            each for each in counted if each.elapsed_s <= self.objective_s
        ]
        return len(timely) / max(1, len(counted))

    def away_share(self, zone, start_s=0.0, end_s=math.inf):
        """Return the share of the calls of a data centre that left it."""
        counted = [
            each
            for each in self.outcomes
            if each.zone == zone and start_s <= each.arrived_s < end_s
        ]
        return sum(each.leaf_zone != zone for each in counted) / max(
            1, len(counted)
        )

    def _schedule(self, at, action, *arguments):
        heapq.heappush(
            self._events, (at, next(self._numbers), action, arguments)
        )

    def _schedule_arrival(self, zone):
        rate = self.zones[zone].requests_per_s(self.now)
        at = self.now + self.demand_rngs[zone].expovariate(max(rate, 0.01))
        if at < self.duration_s:
            self._schedule(at, self._arrive, zone)

    def _delay_s(self, zone, leaf):
        return 0.0002 if zone == leaf.zone else self.delay_s

    def _options(self, zone):
        options = []
        for leaf_id, leaf in self.leafs.items():
            own = self.in_flight[zone][leaf_id]
            load = (max(own, self.stated[zone][leaf_id]) + 1) / self.slots
            slowness = self.zones[leaf.zone].slowness
            options.append(
                PlacementOption(
                    leaf_id,
                    self.settings.price(
                        is_same_data_centre=leaf.zone == zone,
                        is_same_region=True,
                    ),
                    2 * self._delay_s(zone, leaf)
                    + max(1, load) * self.work_s * slowness,
                )
            )
        return options

    def _arrive(self, zone):
        self._schedule_arrival(zone)
        options = self._options(zone)
        placement = self.placements[zone]
        permitted = options
        if placement is not None:
            permitted = placement.permitted(GROUP, options, self.now)
        least_s = min(each.expected_s for each in permitted)
        chosen = self.rng.choice(
            [each for each in permitted if each.expected_s == least_s]
        )
        if placement is not None:
            placement.on_placed(GROUP, chosen.price)
            state = placement.states_by_group.get(GROUP)
            self.shares.append((self.now, zone, state.share if state else 0))
        leaf = self.leafs[chosen.leaf_id]
        self.in_flight[zone][leaf.leaf_id] += 1
        call = (zone, leaf, self.now)
        self._schedule(
            self.now + self._delay_s(zone, leaf), self._deliver, call
        )

    def _deliver(self, call):
        leaf = call[1]
        if leaf.running >= self.slots:
            leaf.queue.append(call)
            return
        leaf.running += 1
        service_s = (
            self.work_s
            * self.rng.lognormvariate(0, 0.35)
            * self.zones[leaf.zone].slowness
        )
        self._schedule(self.now + service_s, self._complete, call)

    def _complete(self, call):
        zone, leaf, _ = call
        leaf.running -= 1
        if leaf.queue:
            self._deliver(leaf.queue.pop(0))
        load = leaf.running + len(leaf.queue)
        at = self.now + self._delay_s(zone, leaf)
        self._schedule(at, self._receive, call, load)

    def _receive(self, call, load):
        zone, leaf, arrived_s = call
        self.stated[zone][leaf.leaf_id] = load
        self.in_flight[zone][leaf.leaf_id] -= 1
        placement = self.placements[zone]
        if placement is not None:
            price = self.settings.price(
                is_same_data_centre=leaf.zone == zone, is_same_region=True
            )
            placement.on_response(GROUP, price, self.now - arrived_s, self.now)
        self.outcomes.append(
            Outcome(arrived_s, self.now - arrived_s, zone, leaf.zone)
        )
