"""Checks of R1 to R8 over what a run observed from the outside.

Every check takes an `Observations` and returns a list of problems, each with
the id of the request, change, leaf or instance that shows it.
"""

from collections import Counter, defaultdict

import attrs
import yaml

GOODS = ('silk', 'wool', 'cotton', 'cedar', 'teak')
DRAIN_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 12.0
# Faults after which an instance may cut or not answer a request.
CUTTING_FAULTS = frozenset(('kill', 'stop'))

CHECKS = {}


@attrs.define
class Observations:
    """What a run observed.

    Parameters
    ----------
    searches, bookings : list of dict
        One entry for each search and for each attempt of a booking.
    changes : list of dict
        One entry for each change of the document, in order of its round.
    revisions, sections : list of dict
        What the status and the document of each instance stated, by time.
    final_texts : dict
        Texts by section, for each instance that was live at the end.
    exits : list of dict
        Exit status of each instance that got SIGTERM.
    faults : list of dict
        ``target``, ``kind``, ``begin`` and ``end``.
    executions : Counter
        Executions by key over all leafs.
    searched : set of str
        Queries that any leaf ran.
    drain_arrivals : list of dict
        Work that reached a draining leaf.
    groups_by_service : dict
        Yards of the groups of each search service, in order of group id.
    per_group : dict
        Partitions of a group, by ``(service, snapshot)``.
    initial_id : str
        Change id of the document with which the run started.
    injected : Counter
        Faults by kind.
    """

    searches: list = attrs.Factory(list)
    bookings: list = attrs.Factory(list)
    changes: list = attrs.Factory(list)
    revisions: list = attrs.Factory(list)
    sections: list = attrs.Factory(list)
    final_texts: dict = attrs.Factory(dict)
    exits: list = attrs.Factory(list)
    faults: list = attrs.Factory(list)
    executions: Counter = attrs.Factory(Counter)
    searched: set = attrs.Factory(set)
    drain_arrivals: list = attrs.Factory(list)
    groups_by_service: dict = attrs.Factory(dict)
    per_group: dict = attrs.Factory(dict)
    initial_id: str = 'initial'
    injected: Counter = attrs.Factory(Counter)

    @property
    def answers(self):
        """Return the searches that were answered."""
        return [each for each in self.searches if each['status'] == 200]

    def has_fault(self, target, begin, end, kinds=None):
        """Return whether a fault on the target overlaps the interval."""
        return any(
            fault['target'] == target
            and (kinds is None or fault['kind'] in kinds)
            and fault['begin'] <= end
            and fault['end'] >= begin
            for fault in self.faults
        )


def check(name):
    """Register a check under its name."""

    def register(function):
        CHECKS[name] = function
        return function

    return register


def _partition_of(record):
    return int(record['record_id'].partition('-')[0])


@check('R1-one-snapshot')
def one_snapshot(seen):
    """All records come from the snapshot that the answer names."""
    return [
        each['id']
        for each in seen.answers
        if any(
            record['fields'].get('snapshot') != each['data']['snapshot']
            for record in each['data']['records']
        )
    ]


@check('R1-no-record-twice')
def no_record_twice(seen):
    """No answer holds a record twice."""
    return [
        each['id']
        for each in seen.answers
        if len({record['record_id'] for record in each['data']['records']})
        != len(each['data']['records'])
    ]


@check('R2-complete-is-true')
def complete_is_true(seen):
    """Require every generated record of an answer that claims completeness."""
    problems = []
    for each in seen.answers:
        data = each['data']
        if not data['coverage']['complete']:
            continue
        groups = len(seen.groups_by_service[each['service']])
        count = groups * seen.per_group[each['service'], data['snapshot']]
        number = GOODS.index(each['query'].partition('#')[0])
        expected = {f'{index:04d}-{number}' for index in range(count)}
        if {record['record_id'] for record in data['records']} != expected:
            problems.append(each['id'])
    return problems


@check('R2-coverage-is-true')
def coverage_is_true(seen):
    """Compare counts of partitions and yards with the records received."""
    return [each['id'] for each in seen.answers if not _is_covered(seen, each)]


def _is_covered(seen, each):
    # Every searched partition holds exactly one record for each query.
    data = each['data']
    coverage = data['coverage']
    found = {_partition_of(record) for record in data['records']}
    if not coverage['known']:
        return not coverage['complete'] and not found
    per_group = seen.per_group[each['service'], data['snapshot']]
    yards = seen.groups_by_service[each['service']]
    missing = {
        partition
        for entry in coverage['missing']
        for partition in entry['partitions']
    }
    answered_by_yard = Counter(
        yards[group] for group in {index // per_group for index in found}
    )
    return (
        coverage['partitions'] == len(yards) * per_group
        and coverage['partitions_answered'] == len(found)
        and not missing & found
        and len(missing | found) == coverage['partitions']
        and all(
            counts['answered'] == answered_by_yard[yard]
            for yard, counts in coverage['yards'].items()
        )
        and coverage['yards'].keys() >= answered_by_yard.keys()
    )


@check('R3-own-answer')
def own_answer(seen):
    """Every answer carries the id, the query or the body of its request."""
    searches = [
        each['id']
        for each in seen.answers
        if each['data']['request_id'] != each['id']
        or any(
            record['fields'].get('query') != each['query']
            for record in each['data']['records']
        )
    ]
    bookings = [
        each['key']
        for each in seen.bookings
        if each['status'] == 200
        and (
            each['data']['key'] != each['key']
            or each['data']['outcome'] != {'booked': each['body']}
        )
    ]
    return searches + bookings


@check('R4-search-not-run')
def search_not_run(seen):
    """No leaf ran a search that was refused as not run."""
    return [
        each['id']
        for each in seen.searches
        if each['execution'] == 'not_run' and each['query'] in seen.searched
    ]


def _attempts_by_key(seen):
    attempts = defaultdict(list)
    for each in seen.bookings:
        attempts[each['key']].append(each)
    return attempts


@check('R4-booking-not-run')
def booking_not_run(seen):
    """Find executions of bookings of which every attempt was not run."""
    return [
        key
        for key, attempts in _attempts_by_key(seen).items()
        if all(each['execution'] == 'not_run' for each in attempts)
        and seen.executions[key]
    ]


@check('R5-at-most-once')
def at_most_once(seen):
    """No key has more than one execution over all leafs."""
    return [key for key, count in seen.executions.items() if count > 1]


@check('R5-ran-is-true')
def ran_is_true(seen):
    """Find bookings that were answered as run and have no execution."""
    return [
        each['key']
        for each in seen.bookings
        if each['execution'] == 'ran' and not seen.executions[each['key']]
    ]


@check('R6-drain')
def drain(seen):
    """No work reaches a draining leaf later than 3 s after its signal.

    An instance that was stopped or started during the drain has its first
    signal when it runs again; the limit counts from its readiness.
    """
    return [
        each
        for each in seen.drain_arrivals
        if each['since_s'] > DRAIN_LIMIT_S
        and not any(
            fault['running_from'] <= each['at'] <= fault['end'] + DRAIN_LIMIT_S
            for fault in seen.faults
            if 'running_from' in fault
        )
    ]


@check('R7-no-request-cut')
def no_request_cut(seen):
    """Only a killed or stopped instance cuts or never answers a request."""
    return [
        each.get('id') or each['key']
        for each in (*seen.searches, *seen.bookings)
        if each['status'] is None
        and not seen.has_fault(
            each['instance'], each['begin'], each['end'], CUTTING_FAULTS
        )
    ]


@check('R7-exit-status')
def exit_status(seen):
    """Every instance that got SIGTERM exits with 0."""
    return [each for each in seen.exits if each['status'] != 0]


@check('ready-after-fault')
def ready_after_fault(seen):
    """Find instances that did not become ready after their fault."""
    return [fault for fault in seen.faults if fault.get('ready') is False]


@check('R8-revision-never-falls')
def revision_never_falls(seen):
    """Find revisions that fell within the life of one process."""
    highest = {}
    problems = []
    for each in seen.revisions:
        life = (each['instance'], each['incarnation'])
        if each['revision'] < highest.get(life, 0):
            problems.append(each)
        highest[life] = max(each['revision'], highest.get(life, 0))
    return problems


def _outdated_ids(seen, section, begin):
    """Return the change ids that no instance may hold after a time.

    Changes of one round race with each other, so that each of them may be
    the last. A change with unknown outcome may take effect at any time.
    """
    accepted = [
        each
        for each in seen.changes
        if each['section'] == section
        and each['result'] == 'accepted'
        and each['end'] <= begin
    ]
    if not accepted:
        return frozenset()
    last = max(each['round'] for each in accepted)
    return {
        each['change_id']
        for each in seen.changes
        if each['section'] == section
        and each['round'] < last
        and each['result'] != 'unknown'
    } | {seen.initial_id}


@check('R8-in-force-within-12s')
def in_force(seen):
    """Find instances that hold an older text 12 s after the last fault."""
    problems = []
    for each in seen.sections:
        begin = each['at'] - IN_FORCE_LIMIT_S
        if any(
            seen.has_fault(target, begin, each['at'])
            for target in (each['instance'], 'kv')
        ):
            continue
        for section, change_id in each['change_ids'].items():
            if change_id in _outdated_ids(seen, section, begin):
                problems.append({**each, 'section': section})
    return problems


@check('R8-same-texts-at-end')
def same_texts_at_end(seen):
    """All instances hold the texts of the last accepted changes."""
    problems = []
    for section in sorted({each['section'] for each in seen.changes}):
        changes = [each for each in seen.changes if each['section'] == section]
        outdated = _outdated_ids(seen, section, float('inf'))
        # The command-line tool sends the lines of a file, whose indentation
        # differs from that of a text sent alone.
        allowed = [
            yaml.safe_load(each['text'])
            for each in changes
            if each['change_id'] not in outdated
            and each['result'] in {'accepted', 'unknown'}
        ]
        texts = {held.get(section) for held in seen.final_texts.values()}
        is_allowed = not outdated or all(
            yaml.safe_load(text or '') in allowed for text in texts
        )
        if len(texts) > 1 or not is_allowed:
            problems.append(section)
    return problems


def verdicts(seen):
    """Run every check and return its problems by name."""
    return {name: function(seen) for name, function in CHECKS.items()}
