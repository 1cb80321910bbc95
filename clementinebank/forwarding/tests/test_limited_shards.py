"""Guards requests to many shards whose leafs all name a rate limit.

A request that gets tokens of too few shards for an answer has used them up for
nothing. If each shard gave its tokens to other requests, hardly any request
would be answered. What can't be answered is refused at once, as not run.
"""

import heapq
import random
from itertools import count

import attrs
import pytest

from clementinebank.dispatch import CancelCall, Finish, Refuse, SendCall
from clementinebank.errors import Execution
from clementinebank.forwarding import ForwardRequest, ForwardStateMachine
from clementinebank.forwarding.tests.simulation import (
    OBJECTIVE_S,
    SERVICES,
    START_S,
    make_leaf_response,
    make_route,
    make_simulation,
)
from clementinebank.http import HttpRequest
from clementinebank.ratelimit import (
    LimitCoordinator,
    NamedLimit,
    equal_share,
)
from clementinebank.routing import CallOutcome

REPLICAS = 3
SERVICE_S = 0.02
DURATION_S = 20.0
# Interval in which an instance checks what tokens it lacks, least interval
# between its questions to the coordinator, and the time that one takes.
CHECK_INTERVAL_S = 0.02
ASK_INTERVAL_S = 0.05
ROUND_TRIP_S = 0.02
# Time in which a request that can't be answered is refused.
REFUSAL_S = 0.02


@attrs.define(eq=False)
class Events:
    """Actions that are run in the order of their times."""

    _queue: list = attrs.Factory(list)
    _order: object = attrs.Factory(count)

    def add(self, at, action, *arguments):
        event = (at, next(self._order), action, arguments)
        heapq.heappush(self._queue, event)

    def run(self):
        while self._queue:
            at, _, action, arguments = heapq.heappop(self._queue)
            action(at, *arguments)


@attrs.define(eq=False)
class LimitedShards:
    """Requests at random times to shards of limited leafs.

    Parameters
    ----------
    per_s : float
        Limit of each leaf.
    demand_per_s : float
        Requests a second.
    """

    per_s: float
    demand_per_s: float
    seed: int = 1
    limited_services: tuple = SERVICES
    route: object = attrs.Factory(lambda: make_route(services=SERVICES))
    simulation: object = attrs.field(init=False)
    refusals: list = attrs.Factory(list)
    answered: int = 0
    asked: int = 0
    events: object = attrs.Factory(lambda: Events())

    def __attrs_post_init__(self):
        """Let the leafs name their limits."""
        self.simulation = make_simulation(self.route, tokens=0, seed=self.seed)
        router = self.simulation.router
        router.limits.share_of = equal_share(1)
        for service in self.limited_services:
            for leaf_id in router.service.groups_by_id[service].leafs_by_id:
                router.on_named_limit(
                    leaf_id, NamedLimit(self.per_s), START_S - 2, 0.01
                )

    @property
    def router(self):
        return self.simulation.router

    def run(self):
        self.add_demand()
        self.events.run()
        return self

    def add_demand(self):
        rng = random.Random(f'demand-{self.seed}')
        at = START_S
        while at < START_S + DURATION_S:
            at += rng.expovariate(self.demand_per_s)
            self.events.add(at, self._start)

    def _start(self, at):
        self.asked += 1
        request = ForwardRequest(
            f'q{self.asked}', at + 2, HttpRequest('G', '/')
        )
        forward = ForwardStateMachine(
            request, self.route, self.route.services, self.router
        )
        self._perform(forward, at, at, forward.start(at))

    def _perform(self, forward, started_at, at, actions):
        for action in actions:
            if isinstance(action, SendCall):
                self.events.add(
                    at + SERVICE_S, self._answer, forward, started_at, action
                )
            elif isinstance(action, CancelCall):
                self.router.on_end(
                    action.leaf_id, at, 0.01, CallOutcome.CANCELLED
                )
            elif isinstance(action, Finish):
                self.answered += at <= started_at + OBJECTIVE_S
            elif isinstance(action, Refuse):
                self.refusals.append((at - started_at, action.failure))
        if not forward.is_finished:
            wake_at = max(at, forward.next_wakeup)
            self.events.add(wake_at, self._wake, forward, started_at)

    def _wake(self, at, forward, started_at):
        if not forward.is_finished and forward.next_wakeup <= at:
            actions = forward.on_time(at)
            self._perform(forward, started_at, at, actions)

    def _answer(self, at, forward, started_at, send):
        if send.attempt_id not in forward.dispatcher.shards_by_attempt:
            return
        self.router.on_end(send.leaf_id, at, SERVICE_S, CallOutcome.GOOD)
        response = make_leaf_response(b'a' * 16, signature=send.leaf_id)
        actions = forward.on_response(send.attempt_id, response, at)
        self._perform(forward, started_at, at, actions)


@attrs.define(eq=False)
class CoordinatedFleet:
    """Instances with equal demand that ask one coordinator for tokens."""

    size: int
    per_s: float
    demand_per_s: float
    events: Events = attrs.Factory(Events)
    coordinator: LimitCoordinator = attrs.Factory(LimitCoordinator)
    next_ask_at: dict = attrs.Factory(dict)

    def run(self):
        """Return the number of requests that were answered."""
        instances = [
            LimitedShards(
                self.per_s,
                self.demand_per_s / self.size,
                seed,
                events=self.events,
            )
            for seed in range(self.size)
        ]
        for instance in instances:
            instance.add_demand()
            self._check(START_S, instance)
        self.events.run()
        return sum(instance.answered for instance in instances)

    def _check(self, at, instance):
        table = instance.router.limits
        wanted_by_leaf = table.wanted_by_leaf(at)
        for leaf_id in wanted_by_leaf:
            table.use_coordinator(leaf_id)
        if at >= self.next_ask_at.get(instance.seed, 0):
            self.next_ask_at[instance.seed] = at + ASK_INTERVAL_S
            arguments = (table, wanted_by_leaf, at)
            self.events.add(at + ROUND_TRIP_S / 2, self._grant, *arguments)
        if at < START_S + DURATION_S:
            self.events.add(at + CHECK_INTERVAL_S, self._check, instance)

    def _grant(self, at, table, wanted_by_leaf, asked_at):
        granted_by_leaf = {
            leaf_id: self.coordinator.grant(leaf_id, wanted, self.per_s, at)
            for leaf_id, wanted in wanted_by_leaf.items()
            if wanted
        }
        self.events.add(
            at + ROUND_TRIP_S / 2,
            self._add_tokens,
            table,
            wanted_by_leaf,
            granted_by_leaf,
            asked_at,
        )

    def _add_tokens(self, at, table, wanted_by_leaf, granted_by_leaf, asked_at):
        for leaf_id, granted in granted_by_leaf.items():
            limit = table.limit_of(leaf_id)
            limit.on_granted(wanted_by_leaf[leaf_id], granted, asked_at, at)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    ('per_s', 'demand_per_s'), [(6.0, 30.0), (3.0, 30.0), (1.0, 10.0)]
)
def test_limits_of_all_shards_are_used_for_whole_answers(
    seed, per_s, demand_per_s
):
    load = LimitedShards(per_s, demand_per_s, seed).run()
    possible = REPLICAS * per_s * DURATION_S
    assert load.answered >= 0.9 * possible


@pytest.mark.parametrize('per_s', [1.0, 3.0])
def test_request_beyond_the_limits_of_all_shards_is_refused_at_once(per_s):
    load = LimitedShards(per_s, 30.0).run()
    early = [
        failure
        for elapsed_s, failure in load.refusals
        if elapsed_s <= REFUSAL_S and failure.execution is Execution.NOT_RUN
    ]
    assert len(early) >= 0.9 * len(load.refusals)
    assert all(0 < failure.retry_after_s <= 2 for failure in early)


def test_shards_beyond_the_minimum_are_left_out():
    load = LimitedShards(0.5, 30.0, limited_services=SERVICES[:1]).run()
    assert load.answered >= 0.99 * load.asked


@pytest.mark.parametrize(
    ('size', 'per_s'), [(2, 6.0), (7, 6.0), (7, 3.0), (20, 6.0)]
)
def test_tokens_of_all_shards_come_to_the_same_instance(size, per_s):
    """Tokens of one shard lapse at an instance that lacks those of others."""
    answered = CoordinatedFleet(size, per_s, demand_per_s=30.0).run()
    assert answered >= 0.9 * REPLICAS * per_s * DURATION_S
