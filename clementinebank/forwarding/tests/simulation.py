"""Simulated forwarded request, with routes and leaf responses for tests."""

import random

import attrs

from clementinebank.dispatch import CancelCall, Finish, Refuse, SendCall
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding import (
    ForwardRequest,
    ForwardStateMachine,
    LeafResponse,
)
from clementinebank.forwarding._topology import create_topology
from clementinebank.http import HttpRequest, HttpResponse
from clementinebank.leafs import LeafRecord
from clementinebank.routes import (
    Route,
    RouteKind,
    ScatterGather,
    WeightedService,
)
from clementinebank.routing import (
    FORWARDING_ROUTING_POLICY,
    CallOutcome,
    Router,
)
from clementinebank.validation import Address

START_S = 1000.0
SERVICES = ('s0', 's1', 's2', 's3')
# Latency objective and timeout of the routes.
OBJECTIVE_S = 0.2
TIMEOUT_S = 1.0


def make_route(kind=RouteKind.SAFE, services=('s0',), **changes):
    scatter_gather = None
    weighted_services = tuple(
        WeightedService(service, 1) for service in services
    )
    if len(services) > 1:
        scatter_gather, weighted_services = ScatterGather(services, 3, 0.75), ()
    options = {'max_attempts': 2, **changes}
    return Route(
        'r',
        'h',
        '/',
        kind,
        TIMEOUT_S,
        OBJECTIVE_S,
        weighted_services,
        scatter_gather,
        **options,
    )


def make_leaf_response(
    body=b'', status=200, execution=Execution.RAN, signature='sig'
):
    response = HttpResponse(status, {}, body)
    is_success = status == 200 and execution is Execution.RAN
    return LeafResponse(response, execution, signature, is_success)


def make_refusal():
    return make_leaf_response(
        status=503, execution=Execution.NOT_RUN, signature=''
    )


def make_leaf_record(service, number):
    return LeafRecord(
        f'{service}-{number}',
        1,
        1,
        service,
        Address('127.0.0.1', 1),
        f'dc-{number}',
        3,
    )


@attrs.define
class Simulation:
    """One forwarded request with simulated time and leafs.

    Parameters
    ----------
    route : Route
        Route of the request.
    router : Router
        Router over the simulated leafs.
    forward : ForwardStateMachine
        The request under test, set by ``start``.
    now : float
        Simulated runtime time in seconds.
    outstanding : dict of str to SendCall
        Calls that have neither ended nor been cancelled, by attempt id.
    sent : list of SendCall
        All calls so far.
    not_run : set of str
        Ids of the attempts that are known not to have run.
    cancelled : list of str
        Ids of the cancelled attempts.
    endings : list of Finish or Refuse
        Answers and refusals to the caller; a correct request gives one.
    """

    route: Route
    router: Router
    forward: ForwardStateMachine = None
    now: float = START_S
    outstanding: dict = attrs.Factory(dict)
    sent: list = attrs.Factory(list)
    not_run: set = attrs.Factory(set)
    cancelled: list = attrs.Factory(list)
    endings: list = attrs.Factory(list)

    def start(self, deadline_s=2.0, **options):
        message = HttpRequest('GET', '/')
        request = ForwardRequest('q', self.now + deadline_s, message, **options)
        self.forward = ForwardStateMachine(
            request, self.route, self.route.services, self.router
        )
        self.perform(self.forward.start(self.now))
        return self

    def perform(self, actions):
        for action in actions:
            if isinstance(action, SendCall):
                assert not self.endings, 'call sent after the answer or refusal'
                self.sent.append(action)
                self.outstanding[action.attempt_id] = action
            elif isinstance(action, CancelCall):
                self.cancelled.append(action.attempt_id)
                self.outstanding.pop(action.attempt_id, None)
            elif isinstance(action, Finish | Refuse):
                self.endings.append(action)

    def answer(self, attempt_id, leaf_response):
        send = self.outstanding.pop(attempt_id)
        if leaf_response.execution is Execution.NOT_RUN:
            self.not_run.add(attempt_id)
        self.router.end_overtaken_call(send.leaf_id, attempt_id)
        self.router.on_end(send.leaf_id, self.now, 0.01, CallOutcome.GOOD)
        self.perform(
            self.forward.on_response(attempt_id, leaf_response, self.now)
        )

    def fail(self, attempt_id, *, may_have_run=True):
        send = self.outstanding.pop(attempt_id)
        execution = Execution.UNKNOWN if may_have_run else Execution.NOT_RUN
        if not may_have_run:
            self.not_run.add(attempt_id)
        failure = Failure('broken', 'broken', Step.READ, execution=execution)
        self.router.on_end(send.leaf_id, self.now, 0.01, CallOutcome.FAILED)
        self.perform(self.forward.on_failure(attempt_id, failure, self.now))

    def first_outstanding(self):
        return next(iter(self.outstanding))

    def advance(self, seconds):
        end = self.now + seconds
        while not self.endings and self.forward.next_wakeup <= end:
            self.now = max(self.now, self.forward.next_wakeup)
            self.perform(self.forward.on_time(self.now))
        self.now = end


def make_simulation(route=None, tokens=20, replicas=3, seed=1):
    records = {}
    for service in SERVICES:
        for number in range(replicas):
            record = make_leaf_record(service, number)
            records[record.leaf_id] = record
    router = Router(
        create_topology(records, 1000, 0.2),
        random.Random(seed),
        connections_per_instance=8,
        policy=FORWARDING_ROUTING_POLICY,
    )
    router.budget.tokens = tokens
    router.budget.earned = tokens
    return Simulation(route or make_route(), router)
