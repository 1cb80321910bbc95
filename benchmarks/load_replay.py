"""Discrete-event replay of load patterns on the decisions of forwarding.

The requests are those of one aggregator, decided by the ``ForwardStateMachine``
and the ``Router`` of the product; leafs, links and the clock are simulated.
Each run is seeded.
"""

import heapq
import itertools
import random

import attrs

from clementinebank.dispatch import CancelCall, Finish, SendCall
from clementinebank.errors import Execution
from clementinebank.forwarding import (
    ForwardRequest,
    ForwardStateMachine,
    LeafResponse,
)
from clementinebank.forwarding._topology import create_topology
from clementinebank.http import HttpRequest, HttpResponse
from clementinebank.leafs import LeafRecord
from clementinebank.routes import Route, RouteKind, ScatterGather
from clementinebank.routing import (
    FORWARDING_ROUTING_POLICY,
    CallOutcome,
    ExtraLoadBudget,
    Router,
)
from clementinebank.validation import Address

START_S = 1000.0
REPLICAS = 3
DELAYS_S = (0.0005, 0.004, 0.008)


@attrs.frozen
class Load:
    """Requests and leafs of a replay.

    Parameters
    ----------
    shards : int
        Services that each request is sent to, of three leafs each.
    requests_per_s : float
        Rate of the requests.
    work_s, spread : float
        Median and log-normal sigma of the service time of a leaf, in seconds.
    slots : int
        Requests that a leaf serves at the same time; others queue.
    pause_s, pause_interval_s : float
        Length and mean interval of the pauses of each leaf, in seconds.
    objective_s, timeout_s : float
        Latency objective and time limit of a request, in seconds.
    min_share : float
        Share of the shards that makes an answer.
    duration_s : float
        Time in which requests arrive, in seconds.
    """

    shards: int = 36
    requests_per_s: float = 8.0
    work_s: float = 0.011
    spread: float = 0.35
    slots: int = 4
    pause_s: float = 0.12
    pause_interval_s: float = 3.0
    objective_s: float = 0.135
    timeout_s: float = 1.5
    min_share: float = 0.95
    duration_s: float = 16.0


@attrs.frozen
class Trouble:
    """Trouble of some leafs for some time.

    Parameters
    ----------
    start_s, end_s : float
        Time since the start of the replay, in seconds.
    leaf_ids : frozenset of str
        Leafs that are in trouble.
    factor : float
        Multiple of their service time; infinity for leafs that never answer.
    """

    start_s: float
    end_s: float
    leaf_ids: frozenset[str]
    factor: float


@attrs.define
class Outcome:
    """Request that has ended.

    Parameters
    ----------
    arrived_s, elapsed_s : float
        Arrival since the start of the replay and duration, in seconds.
    missing : int or None
        Shards left out of the answer, ``None`` if there was no answer.
    """

    arrived_s: float
    elapsed_s: float
    missing: int | None


@attrs.define(eq=False, slots=False)
class _Leaf:
    leaf_id: str
    delay_s: float
    paused_until: float = 0
    next_pause_at: float = 0
    running: int = 0
    queue: list = attrs.Factory(list)


@attrs.define(eq=False, slots=False)
class _Call:
    attempt_id: str
    leaf: _Leaf
    run: object
    sent_at: float
    is_cancelled: bool = False
    is_running: bool = False


@attrs.define(eq=False, slots=False)
class Replay:
    """Replay of one load with troubles; ``run`` returns the outcomes."""

    load: Load
    troubles: tuple[Trouble, ...] = ()
    seed: int = 1
    policy: object = FORWARDING_ROUTING_POLICY
    now: float = START_S
    outcomes: list[Outcome] = attrs.Factory(list)
    calls: int = 0
    _events: list = attrs.Factory(list)
    _numbers: object = attrs.Factory(itertools.count)

    def __attrs_post_init__(self):
        """Create the leafs and the router."""
        load = self.load
        self.rng = random.Random(self.seed)
        self.services = tuple(f's{number}' for number in range(load.shards))
        records, delays, self.leafs = {}, {}, {}
        for service in self.services:
            for number in range(REPLICAS):
                record = LeafRecord(
                    f'{service}-{number}',
                    1,
                    1,
                    service,
                    Address('127.0.0.1', 1),
                    f'dc-{number}',
                    load.slots,
                )
                records[record.leaf_id] = record
                leaf = _Leaf(record.incarnation_id, DELAYS_S[number])
                leaf.next_pause_at = START_S + self.rng.expovariate(
                    1 / load.pause_interval_s
                )
                self.leafs[leaf.leaf_id] = leaf
                delays[leaf.leaf_id] = leaf.delay_s
        self.router = Router(
            create_topology(records, 1000, 0.18),
            random.Random(self.seed + 1),
            delays,
            connections_per_instance=8,
            policy=self.policy,
        )
        for service in self.services:
            self.router.budgets_by_group[service] = ExtraLoadBudget(
                0.18, 8, tokens=4, earned=4
            )
        for leaf in self.router.leafs_by_id.values():
            leaf.set_capacity(load.slots, 8)
            leaf.limit = load.slots

    def run(self):
        """Replay the load and return the outcomes in order of their end."""
        at = START_S
        end = START_S + self.load.duration_s
        number = 0
        while at < end:
            at += self.rng.expovariate(self.load.requests_per_s)
            self._schedule(at, self._arrive, f'q{number}')
            number += 1
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.outcomes

    def _schedule(self, at, action, *arguments):
        heapq.heappush(
            self._events, (at, next(self._numbers), action, arguments)
        )

    def _arrive(self, request_id):
        _Run(self, request_id).start()

    def service_s(self, leaf):
        """Return the service time of the next call of a leaf in seconds."""
        load = self.load
        service_s = load.work_s * self.rng.lognormvariate(0, load.spread)
        elapsed_s = self.now - START_S
        for trouble in self.troubles:
            is_active = trouble.start_s <= elapsed_s < trouble.end_s
            if is_active and leaf.leaf_id in trouble.leaf_ids:
                service_s *= trouble.factor
        return service_s + self._pause_left_s(leaf)

    def _pause_left_s(self, leaf):
        while leaf.next_pause_at <= self.now:
            leaf.paused_until = leaf.next_pause_at + self.load.pause_s
            leaf.next_pause_at += self.rng.expovariate(
                1 / self.load.pause_interval_s
            )
        return max(0, leaf.paused_until - self.now)

    def deliver(self, call):
        """Begin or queue a call that has reached its leaf."""
        leaf = call.leaf
        if call.is_cancelled:
            return
        if leaf.running >= self.load.slots:
            leaf.queue.append(call)
            return
        leaf.running += 1
        call.is_running = True
        service_s = self.service_s(leaf)
        if service_s < float('inf'):
            self._schedule(self.now + service_s, self._complete, call)

    def _complete(self, call):
        if call.is_running:
            self.free_slot(call)
            self._schedule(
                self.now + call.leaf.delay_s, call.run.on_reply, call
            )

    def free_slot(self, call):
        """End a call at its leaf and begin the next one in the queue."""
        leaf = call.leaf
        call.is_running = False
        leaf.running -= 1
        while leaf.queue:
            following = leaf.queue.pop(0)
            if not following.is_cancelled:
                self.deliver(following)
                break


@attrs.define(eq=False, slots=False)
class _Run:
    """One request of a replay."""

    replay: Replay
    request_id: str
    is_ended: bool = False
    calls: dict = attrs.Factory(dict)

    def start(self):
        load, now = self.replay.load, self.replay.now
        route = Route(
            'r',
            '',
            '/',
            RouteKind.SAFE,
            load.timeout_s,
            load.objective_s,
            scatter_gather=ScatterGather(
                self.replay.services, 20, load.min_share
            ),
        )
        self.started_at = now
        self.machine = ForwardStateMachine(
            ForwardRequest(
                self.request_id, now + load.timeout_s, HttpRequest('GET', '/')
            ),
            route,
            route.services,
            self.replay.router,
        )
        self._perform(self.machine.start(now))
        self._schedule_wakeup()

    def _schedule_wakeup(self):
        at = self.machine.next_wakeup
        if not self.is_ended and at < float('inf'):
            self.replay._schedule(max(at, self.replay.now), self._wake)

    def _wake(self):
        if self.is_ended:
            return
        if self.replay.now >= self.machine.next_wakeup:
            self._perform(self.machine.on_time(self.replay.now))
        self._schedule_wakeup()

    def _perform(self, actions):
        replay = self.replay
        for action in actions:
            if isinstance(action, SendCall):
                leaf = replay.leafs[action.leaf_id]
                call = _Call(action.attempt_id, leaf, self, replay.now)
                self.calls[action.attempt_id] = call
                replay.calls += 1
                replay._schedule(
                    replay.now + leaf.delay_s, replay.deliver, call
                )
                replay._schedule(
                    self.started_at + replay.load.timeout_s + 1,
                    self._expire,
                    call,
                )
            elif isinstance(action, CancelCall):
                call = self.calls.get(action.attempt_id)
                if call is not None:
                    self._end_call(call, CallOutcome.CANCELLED)
            else:
                missing = None
                if isinstance(action, Finish):
                    missing = action.answer.missing
                self.is_ended = True
                replay.outcomes.append(
                    Outcome(
                        self.started_at - START_S,
                        replay.now - self.started_at,
                        missing,
                    )
                )

    def _expire(self, call):
        """Close the connection of a call without a reply."""
        if not call.is_cancelled and call.attempt_id in self.calls:
            self._end_call(call, CallOutcome.FAILED)

    def _end_call(self, call, outcome):
        replay = self.replay
        call.is_cancelled = True
        self.calls.pop(call.attempt_id, None)
        if call.is_running:
            replay.free_slot(call)
        self._record(call, outcome)

    def _record(self, call, outcome):
        router = self.replay.router
        ended = router.end_overtaken_call(call.leaf.leaf_id, call.attempt_id)
        is_current = (
            call.attempt_id in self.machine.dispatcher.shards_by_attempt
        )
        counted = outcome if is_current or ended else CallOutcome.CANCELLED
        router.on_end(
            call.leaf.leaf_id,
            self.replay.now,
            self.replay.now - call.sent_at,
            counted,
            'r',
        )
        return is_current

    def on_reply(self, call):
        if call.is_cancelled:
            return
        self.calls.pop(call.attempt_id, None)
        call.is_cancelled = True
        if not self._record(call, CallOutcome.GOOD) or self.is_ended:
            return
        response = LeafResponse(
            HttpResponse(200, {}, b'x' * 16), Execution.RAN, 'sig', True
        )
        self._perform(
            self.machine.on_response(call.attempt_id, response, self.replay.now)
        )
        self._schedule_wakeup()


def choose_leafs(replay, share, seed=7):
    """Return the ids of a random share of all leafs."""
    ids = sorted(replay.leafs)
    return frozenset(random.Random(seed).sample(ids, int(share * len(ids))))


def summarize(outcomes, load, start_s=0.0, end_s=float('inf')):
    """Return the credit of the requests that arrive in a span of time.

    A request in time earns the square of its share of shards, a late one a
    tenth of it.
    """
    credits = []
    for each in outcomes:
        if start_s <= each.arrived_s < end_s:
            share = (
                0 if each.missing is None else 1 - each.missing / load.shards
            )
            is_late = each.elapsed_s > load.objective_s
            credits.append(share**2 * (0.1 if is_late else 1))
    return sum(credits) / max(1, len(credits))
