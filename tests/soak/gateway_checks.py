"""Checks of what clients and leafs of gateway processes have seen.

Bounds count for a process in touch: it and the store ran undisturbed for the
stable window before the request and until its response. A drill ends with the
return of the store. In both deployments the stable window is one second longer
than the bound of the configuration, so whatever is written again at the return
must be in force by then.
"""

import attrs

INFINITE = float('inf')
# Margin for the clock of the soak, which serves all leafs itself.
CLOCK_MARGIN_S = 0.25
# Longest time by which a process may return to an older version; more if it
# was disturbed.
ROLLBACK_S = 0.25
DISTURBED_ROLLBACK_S = 2.0
OWN_REFUSALS = frozenset((408, 421, 429))
STORE = 'store'
# Begin of the routes that are in all versions and never move.
LASTING_PREFIX = '/f'
MAX_UNSERVED_SHARE = 0.02
# Begin of the routes to services that get their only leaf in a drill.
SPARE_PREFIX = '/d'
CHECKS = {}


def check(function):
    """Register a check as the problem that its function is named after."""
    CHECKS[function.__name__] = function
    return function


@attrs.frozen
class Deployment:
    """Data centre of each process, and bounds in seconds."""

    data_centres: tuple
    change_s: float
    drain_s: float
    stable_s: float


@attrs.define(eq=False)
class Disturbance:
    """Fault of a process, or of the store, as long as it lasts."""

    target: str
    kind: str
    begin: float
    end: float = INFINITE


@attrs.define(eq=False)
class Writing:
    """Version of the configuration, or removal of a leaf, that was written.

    Parameters
    ----------
    name : object
        Number of the version, or id of the leaf.
    sent_at : float
        Runtime time in seconds of its first writing.
    services_by_prefix : dict of str to str
        Routes of the version.
    spans : list of list of float
        Begin and end of each time for which the store held it, in seconds.
    """

    name: object
    sent_at: float
    services_by_prefix: dict = attrs.Factory(dict)
    spans: list = attrs.Factory(list)

    def acknowledge(self, at):
        self.spans.append([at, INFINITE])

    def lose_since(self, copied_at, lost_at):
        """End the spans that began after the copy of the store."""
        for span in self.spans:
            if span[0] > copied_at:
                span[1] = min(span[1], lost_at)

    def is_due(self, at, bound_s):
        """Return whether it must be in force for what is sent at a time."""
        return any(begin + bound_s < at < end for begin, end in self.spans)

    def allows(self, exchange):
        """Return whether the version allows how a request was handled."""
        service = self.services_by_prefix.get(_prefix_of(exchange))
        return service == _service_of(exchange)


@attrs.frozen
class Arrival:
    """Request that a leaf has run."""

    leaf_id: str
    request_id: str
    at: float

    @property
    def instance_id(self):
        """Return the process to which the client sent the request."""
        return self.request_id.rpartition('-q')[0]


@attrs.define(eq=False)
class GatewayHistory:
    """Everything that happened in a run."""

    deployment: Deployment
    versions: list = attrs.Factory(list)
    removals: list = attrs.Factory(list)
    registrations: list = attrs.Factory(list)
    disturbances: list = attrs.Factory(list)
    arrivals: list = attrs.Factory(list)
    exchanges: list = attrs.Factory(list)
    starts_by_id: dict = attrs.Factory(dict)
    ended_ids: list = attrs.Factory(list)

    def writings(self):
        """Return everything that the store may lose."""
        return (*self.versions, *self.removals, *self.registrations)

    def in_touch(self, instance_id, begin, end):
        """Return whether a process was in touch for a whole time."""
        return not self.disturbances_of(
            {instance_id, STORE}, begin - self.deployment.stable_s, end
        )

    def disturbances_of(self, targets, begin, end):
        return [
            each
            for each in self.disturbances
            if each.target in targets and each.begin < end and each.end > begin
        ]

    def handled(self):
        """Return the requests that were run or refused for lack of a route."""
        return [each for each in self.exchanges if each.status in {200, 404}]

    def judged(self):
        """Return those of them to which the bound of versions applies."""
        return [
            each
            for each in self.handled()
            if self.in_touch(each.instance_id, each.sent_at, each.ended_at)
        ]

    def judged_after_drills(self):
        """Return those in the stable window after one of a drill's."""
        window_s = self.deployment.stable_s
        returns = [each.end for each in self.drills()]
        return [
            each
            for each in self.judged()
            if any(0 < each.sent_at - at < 2 * window_s for at in returns)
        ]

    def drills(self):
        return [each for each in self.disturbances if each.kind == 'drill']

    def due_version(self, at):
        """Return the newest version that must be in force at a time."""
        bound_s = self.deployment.change_s
        due = [v.name for v in self.versions if v.is_due(at, bound_s)]
        return max(due, default=0)

    def allowing(self, exchange):
        """Return the numbers of versions that allow how one was handled."""
        return [
            each.name
            for each in self.versions
            if each.sent_at <= exchange.ended_at and each.allows(exchange)
        ]


def _prefix_of(exchange):
    return f'/{exchange.path.split("/")[1]}/'


def _leaf_of(exchange):
    return exchange.response.body.decode('latin-1').strip()


def _service_of(exchange):
    """Return the service that ran a request, ``None`` for a missing route."""
    if exchange.status == 404:
        return None
    return _leaf_of(exchange).partition('-')[0]


def find_problems(history):
    """Return the requests that break a rule, described, by check."""
    return {
        name: [str(each) for each in function(history)]
        for name, function in CHECKS.items()
    }


@check
def late_version(history):
    """Return requests that are handled as only too old versions allow."""
    for each in history.judged():
        due = history.due_version(each.sent_at)
        if max(history.allowing(each), default=0) < due:
            yield due, history.allowing(each), each


@check
def regress(history):
    """Return requests handled by a version older than a process had shown."""
    for instance_id, starts in history.starts_by_id.items():
        for begin, end in zip(starts, [*starts[1:], INFINITE], strict=True):
            yield from _find_regress(history, instance_id, begin, end)


def _find_regress(history, instance_id, begin, end):
    shown = []
    exchanges = [
        each
        for each in history.handled()
        if each.instance_id == instance_id and begin < each.sent_at < end
    ]
    for each in sorted(exchanges, key=lambda one: one.sent_at):
        allowing = history.allowing(each)
        window = each.sent_at - history.deployment.stable_s, each.ended_at
        is_calm = not history.disturbances_of({instance_id}, *window)
        slack_s = ROLLBACK_S if is_calm else DISTURBED_ROLLBACK_S
        known = [one for at, one in shown if at + slack_s < each.sent_at]
        if allowing and max(allowing) < max(known, default=0):
            yield max(known), allowing, each
        elif allowing:
            shown.append((each.ended_at, min(allowing)))


@check
def late_at_leaf(history):
    """Return requests that reach a leaf too long after its removal."""
    bound_s = history.deployment.drain_s + CLOCK_MARGIN_S
    removals_by_id = {each.name: each for each in history.removals}
    for each in history.arrivals:
        removal = removals_by_id.get(each.leaf_id)
        is_late = removal is not None and removal.is_due(each.at, bound_s)
        if is_late and history.in_touch(each.instance_id, each.at, each.at):
            yield removal.spans, each


@check
def missed_leaf(history):
    """Return requests that aren't served though their only leaf is known."""
    bound_s = history.deployment.change_s
    for each in history.exchanges:
        if each.status == 200 or not each.path.startswith(SPARE_PREFIX):
            continue
        service = each.path.split('/')[1]
        is_known = any(
            one.name.startswith(service) and one.is_due(each.sent_at, bound_s)
            for one in history.registrations
        )
        if is_known and history.in_touch(
            each.instance_id, each.sent_at, each.ended_at
        ):
            yield each


@check
def ended(history):
    """Return processes that have ended by themselves."""
    return history.ended_ids


@check
def unserved(history):
    """Return unserved requests in touch, if they are more than a few."""
    due = [
        each
        for each in history.exchanges
        if each.path.startswith(LASTING_PREFIX)
        and history.in_touch(each.instance_id, each.sent_at, each.ended_at)
    ]
    unserved = [each for each in due if each.status != 200]
    return unserved if len(unserved) > MAX_UNSERVED_SHARE * len(due) else []


@check
def wrong_service(history):
    """Return requests run by a service that no version allows, or denied."""
    for each in history.exchanges:
        status = each.status or 503
        if status in {200, 404} and not history.allowing(each):
            yield each
        elif 400 < status < 500 and status not in {404, *OWN_REFUSALS}:
            yield each


@check
def run_twice(history):
    """Return unsafe requests that ran more than once, or after a promise."""
    unsafe = {
        each.request_id: each.status
        for each in history.exchanges
        if each.path.startswith('/u')
    }
    run = set()
    for each in history.arrivals:
        promised = unsafe.get(each.request_id) in {503, *OWN_REFUSALS}
        if each.request_id in unsafe and (promised or each.request_id in run):
            yield each
        run.add(each.request_id)


@check
def unsigned(history):
    """Return successes without the signature and answer of their leaf."""
    run = {(each.leaf_id, each.request_id) for each in history.arrivals}
    for each in history.exchanges:
        if each.status != 200:
            continue
        headers = each.response.headers
        is_signed = (
            headers.get('x-server-stamp') == f'signed-by-{_leaf_of(each)}'
            and headers.get('x-request-id') == each.request_id
        )
        if not is_signed or (_leaf_of(each), each.request_id) not in run:
            yield each
