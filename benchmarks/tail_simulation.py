"""Discrete-event simulation of searches for the tail benchmark.

The instances decide with the ``Query``, ``Router`` and ``SnapshotCatalogue`` of
the product; only the leafs, the connections and the clock are simulated.
"""

import heapq
import random
from itertools import count

import attrs

from clementinebank.dispatch import CancelCall
from clementinebank.errors import Execution, Failure, Step
from clementinebank.routing import OUTCOMES_BY_CODE, CallOutcome, Router
from clementinebank.search import (
    Finish,
    Query,
    SearchRequest,
    SendShardRequest,
    ShardReply,
    SnapshotCatalogue,
)
from clementinebank.upstream import LeafStatus, ServedSnapshot

INSTANCES = 7
PARTITIONS_PER_GROUP = 2
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
# Time after the deadline at which a connection without a reply is closed, as
# in the connection pool of the product.
LATE_REPLY_LIMIT_S = 1.0


class Simulator:
    """Simulated clock that runs scheduled actions in the order of time."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._event_numbers = count()

    def schedule(self, when, action, *arguments):
        # The event number decides the order of events of the same time.
        entry = (when, next(self._event_numbers), action, arguments)
        heapq.heappush(self._events, entry)

    def run(self):
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)


class BaselineRouter(Router):
    """Router of the policy ``baseline``: a random replica, no probes.

    Its service has an extra load of 0, so no request is sent twice.
    """

    def choose(
        self, group_id, now, excluded=(), remaining_s=0, *, may_wait=False
    ):
        leafs = [
            leaf_id
            for leaf_id in self.service.groups_by_id[group_id].leafs_by_id
            if leaf_id not in excluded
        ]
        return self.rng.choice(leafs) if leafs else None

    def probe_target(self, group_id, now):
        return None


@attrs.define(eq=False)
class Call:
    """A shard request from its sending to its end.

    ``has_slot`` and ``has_connection`` say what the call occupies now: a slot
    of the leaf, a connection of the pool.
    """

    run: 'QueryRun'
    send: SendShardRequest
    number: int
    sent_at: float
    is_ended: bool = False
    is_cancelled: bool = False
    has_slot: bool = False
    has_connection: bool = False


@attrs.define(eq=False)
class Leaf:
    """Simulated leaf that runs a limited number of requests at once."""

    simulator: Simulator
    scenario: object
    index: int
    slots: int
    busy_slots: int = 0

    def receive(self, call, request_times, respond):
        now = self.simulator.now
        if call.is_ended or self.scenario.is_lost(self.index, now):
            return
        if self.scenario.is_shedding(self.index, now) or (
            self.busy_slots >= self.slots
        ):
            respond('shed')
        elif int(call.send.snapshot[2:]) not in self.scenario.served_sequences(
            self.index, now
        ):
            respond('snapshot_unavailable')
        else:
            # A cancel message that overtook this request had no effect, so
            # the request runs all the same.
            self.busy_slots += 1
            call.has_slot = True
            self.simulator.schedule(
                now + request_times.service_s, self._complete, call, respond
            )

    def cancel(self, call, respond):
        if call.has_slot:
            self.release_slot(call)
            respond('cancelled')

    def release_slot(self, call):
        if call.has_slot:
            call.has_slot = False
            self.busy_slots -= 1

    def _complete(self, call, respond):
        if call.has_slot:
            self.release_slot(call)
            respond(None)


@attrs.define(eq=False)
class Pool:
    """Connections of one instance to one leaf.

    At most ``max_connections`` connections are open; further calls wait for a
    free one.
    """

    simulated_service: 'SimulatedService'
    leaf: Leaf
    delay_s: float
    max_connections: int
    free_count: int = 0
    open_count: int = 0
    waiting: list = attrs.Factory(list)

    def submit(self, call):
        now = self.simulated_service.simulator.now
        if self.simulated_service.scenario.is_refusing(self.leaf.index, now):
            delay_s = 2 * self.delay_s
            self.simulated_service.simulator.schedule(
                now + delay_s, self.end, call, 'broken'
            )
            return
        if self.free_count:
            self.free_count -= 1
            self._transmit(call, 0)
        elif self.open_count < self.max_connections:
            self.open_count += 1
            self.simulated_service.connects += 1
            self._transmit(call, self.simulated_service.connect_s)
        else:
            self.waiting.append(call)

    def cancel(self, call):
        call.is_cancelled = True
        simulator = self.simulated_service.simulator
        if not call.has_connection:
            if call in self.waiting:
                self.waiting.remove(call)
                self.end(call, 'expired')
        elif self.simulated_service.is_closing:
            self.open_count -= 1
            call.has_connection = False
            simulator.schedule(
                simulator.now + self.delay_s, self.leaf.release_slot, call
            )
            self.end(call, 'expired')
        else:
            # The call occupies its connection until its reply, so the cancel
            # message is sent on another one.
            connect_s = (
                0 if self.free_count else self.simulated_service.connect_s
            )
            when = simulator.now + connect_s + self.delay_s
            simulator.schedule(
                when, self.leaf.cancel, call, self._responder(call)
            )

    def end(self, call, code):
        """Free the connection of a call and report the end of the call.

        The ``code`` is that of the failure, or ``None`` after a good reply. A
        call that has ended before is ignored.
        """
        if call.is_ended:
            return
        call.is_ended = True
        if call.has_connection:
            call.has_connection = False
            self.free_count += 1
        # A connection on which no reply arrived is closed, not reused.
        if code == 'lost' and self.free_count:
            self.free_count -= 1
            self.open_count -= 1
        call.run.on_outcome(call, code)
        if self.waiting and (
            self.free_count or self.open_count < self.max_connections
        ):
            self.submit(self.waiting.pop(0))

    def _transmit(self, call, connect_s):
        call.has_connection = True
        simulator = self.simulated_service.simulator
        now = simulator.now
        request_times = self.simulated_service.request_times(
            call.number, self.leaf, self.delay_s
        )
        simulator.schedule(
            now + connect_s + request_times.request_link_s,
            self.leaf.receive,
            call,
            request_times,
            self._responder(call, request_times.reply_link_s),
        )
        deadline = call.run.query.request.deadline
        simulator.schedule(
            deadline + LATE_REPLY_LIMIT_S, self.end, call, 'lost'
        )

    def _responder(self, call, reply_link_s=None):
        delay_s = self.delay_s if reply_link_s is None else reply_link_s

        def respond(code):
            now = self.simulated_service.simulator.now
            self.simulated_service.simulator.schedule(
                now + delay_s, self.end, call, code
            )

        return respond


@attrs.define(eq=False)
class Instance:
    """Router, snapshot catalogue and connections of one instance."""

    simulated_service: 'SimulatedService'
    router: Router
    catalogue: SnapshotCatalogue
    pools: dict = attrs.Factory(dict)

    def probe_status(self, leaf_id, group_id):
        """Probe the status of a leaf and schedule the next probe.

        The status arrives a round trip later. A leaf that is lost or refuses
        connections counts as failed after the probe timeout.
        """
        simulated_service = self.simulated_service
        pool = self.pools[leaf_id]
        now = simulated_service.simulator.now
        index = pool.leaf.index
        if not (
            simulated_service.scenario.is_lost(index, now)
            or simulated_service.scenario.is_refusing(index, now)
        ):
            state, load = simulated_service.scenario.status(index, now)
            sequences = simulated_service.scenario.served_sequences(index, now)
            status = LeafStatus(
                state,
                load,
                simulated_service.served_snapshots(group_id, sequences),
            )
            simulated_service.simulator.schedule(
                now + 2 * pool.delay_s,
                self._record_status,
                leaf_id,
                group_id,
                status,
            )
        else:
            when = now + PROBE_TIMEOUT_S
            simulated_service.simulator.schedule(
                when, self.router.on_invalid_reply, leaf_id, when
            )
        if now < simulated_service.end_s:
            simulated_service.simulator.schedule(
                now + PROBE_INTERVAL_S, self.probe_status, leaf_id, group_id
            )

    def _record_status(self, leaf_id, group_id, status):
        self.router.on_status(
            leaf_id, self.simulated_service.simulator.now, status
        )
        self.catalogue.set_leaf_snapshots(leaf_id, group_id, status.snapshots)


@attrs.define(eq=False)
class QueryRun:
    """One query of an instance, run in place of the search engine.

    Carries out the actions that the ``Query`` returns and passes the ends of
    calls and the wakeups back to it.
    """

    instance: Instance
    query: Query
    number: int
    started_at: float
    calls: dict = attrs.Factory(dict)
    wakeup: float = 0
    sent: int = 0
    final_action: object = None
    ended_at: float = 0

    def perform(self, actions):
        simulator = self.instance.simulated_service.simulator
        for action in actions:
            if isinstance(action, SendShardRequest):
                self.sent += 1
                call = Call(self, action, self.number, simulator.now)
                self.calls[action.attempt_id] = call
                self.instance.pools[action.leaf_id].submit(call)
            elif isinstance(action, CancelCall):
                call = self.calls[action.attempt_id]
                self.instance.pools[action.leaf_id].cancel(call)
            else:
                self.final_action = action
                self.ended_at = simulator.now
        self._schedule_wakeup()

    def on_outcome(self, call, code):
        now = self.instance.simulated_service.simulator.now
        send = call.send
        self.instance.router.on_end(
            send.leaf_id, now, now - call.sent_at, _call_outcome(call, code)
        )
        if self.final_action is not None or call.is_cancelled:
            return
        if code is None:
            reply = ShardReply(send.snapshot, send.partitions, ())
            actions = self.query.on_reply(send.attempt_id, reply, now)
        else:
            may_have_run = code in {'broken', 'lost'}
            execution = Execution.UNKNOWN if may_have_run else Execution.NOT_RUN
            failure = Failure(code, code, Step.READ, execution=execution)
            actions = self.query.on_failure(send.attempt_id, failure, now)
        self.perform(actions)

    def _schedule_wakeup(self):
        wakeup = self.query.next_wakeup
        if self.final_action is None and wakeup != self.wakeup:
            self.wakeup = wakeup
            simulator = self.instance.simulated_service.simulator
            simulator.schedule(
                max(wakeup, simulator.now), self._on_wakeup, wakeup
            )

    def _on_wakeup(self, wakeup):
        if self.final_action is None and wakeup == self.wakeup:
            self.wakeup = 0
            now = self.instance.simulated_service.simulator.now
            self.perform(self.query.on_time(now))


@attrs.define(eq=False)
class SimulatedService:
    """One service of a deployment, with its leafs and all instances.

    With ``is_closing`` the cancellation of a call closes its connection
    instead of sending a cancel message.
    """

    document: object
    service: object
    scenario: object
    seed: int
    end_s: float
    policy: str
    is_closing: bool = False
    simulator: Simulator = attrs.Factory(Simulator)
    leafs: dict = attrs.Factory(dict)
    instances: list = attrs.Factory(list)
    runs: list = attrs.Factory(list)
    connects: int = 0

    def __attrs_post_init__(self):
        """Create the simulated leafs and the instances."""
        for index, leaf_id in enumerate(self.service.leafs_by_id):
            self.leafs[leaf_id] = Leaf(
                self.simulator, self.scenario, index, self.service.slots
            )
        for number in range(INSTANCES):
            self.instances.append(self._build_instance(number))

    @property
    def connect_s(self):
        return self.service.connect_ms / 1000

    def delays_by_leaf(self, number):
        """Return the one-way delays in seconds from an instance, by leaf."""
        fleet = self.document.fleet
        data_centres = list(fleet.regions_by_data_centre)
        own_data_centre = data_centres[number % len(data_centres)]
        return {
            leaf_id: fleet.delay_ms(own_data_centre, leaf.data_centre) / 1000
            for leaf_id, leaf in self.service.leafs_by_id.items()
        }

    def request_times(self, query, leaf, delay_s):
        """Return the times of a request of a query to a leaf."""
        now = self.simulator.now
        return self.scenario.request_times(query, leaf.index, delay_s, now)

    def served_snapshots(self, group_id, sequences):
        """Return snapshots of a group as its leafs report them.

        Each has one of the sequence numbers and the partitions of the group.
        """
        groups = list(self.service.groups_by_id)
        first_partition = groups.index(group_id) * PARTITIONS_PER_GROUP
        partitions = tuple(
            range(first_partition, first_partition + PARTITIONS_PER_GROUP)
        )
        partition_count = len(groups) * PARTITIONS_PER_GROUP
        return tuple(
            ServedSnapshot(f's-{each}', each, partition_count, partitions)
            for each in sequences
        )

    def run(self, arrivals):
        """Run all queries, given as pairs of start time and instance number.

        Each instance knows a status of every leaf at the start.
        """
        for instance in self.instances:
            for group in self.service.groups_by_id.values():
                for leaf_id in group.leafs_by_id:
                    state = LeafStatus(
                        'serving',
                        0,
                        self.served_snapshots(group.group_id, (1,)),
                    )
                    instance._record_status(leaf_id, group.group_id, state)
                    offset_s = random.Random(leaf_id).random()
                    self.simulator.schedule(
                        offset_s, instance.probe_status, leaf_id, group.group_id
                    )
        for number, (when, instance) in enumerate(arrivals):
            self.simulator.schedule(when, self._start_query, number, instance)
        self.simulator.run()

    def _build_instance(self, number):
        router_class = BaselineRouter if self.policy == 'baseline' else Router
        service = self.service
        if self.policy == 'baseline':
            service = attrs.evolve(service, extra_load=0)
        delays_by_leaf = self.delays_by_leaf(number)
        max_connections = self.document.connections_per_instance(service)
        router = router_class(
            service,
            random.Random(self.seed + number),
            delays_by_leaf,
            max_connections,
        )
        instance = Instance(self, router, SnapshotCatalogue())
        for leaf_id, leaf in self.leafs.items():
            instance.pools[leaf_id] = Pool(
                self, leaf, delays_by_leaf[leaf_id], max_connections
            )
        return instance

    def _start_query(self, number, instance_number):
        now = self.simulator.now
        instance = self.instances[instance_number]
        caller_s = 2 * self.document.fleet.caller_delay_ms / 1000
        deadline = now + self.service.deadline_ms / 1000 - caller_s
        request = SearchRequest(str(number), '*', 20, deadline)
        query = Query(
            request,
            instance.router.service,
            instance.router,
            instance.catalogue,
        )
        run = QueryRun(instance, query, number, now)
        self.runs.append(run)
        run.perform(query.start(now))


def is_answered(run):
    """Return whether a query ended with an answer, not with a failure."""
    return isinstance(run.final_action, Finish)


def _call_outcome(call, code):
    """Return what the router records for a call that ended with a code."""
    if call.is_cancelled:
        return CallOutcome.CANCELLED
    if code is None:
        return CallOutcome.GOOD
    return OUTCOMES_BY_CODE.get(code, CallOutcome.FAILED)
