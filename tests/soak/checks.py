"""Checks of the requirements R1 to R8 on the observations of a run.

They use only what callers, operators and leafs can observe. Every check takes
an `Observations` and returns a list of its problems: ids of requests, keys of
bookings, names of sections, or entries of the observations.
"""

from collections import Counter, defaultdict

import attrs
import yaml

GOODS = ('silk', 'wool', 'cotton', 'cedar', 'teak')
# Longest time for which a leaf may still receive work after it signals its
# drain.
DRAIN_LIMIT_S = 3.0
# Time within which an accepted change is in force on every instance.
IN_FORCE_LIMIT_S = 12.0
# Time from the first reply with a rate limit until the limit must be kept, and
# the windows in which half as much again and a few requests are tolerated.
LIMIT_SETTLING_S = 5.0
LIMIT_WINDOW_S = 4.0
LIMIT_TOLERANCE = 5
# Faults during which an instance may cut a request or leave it unanswered.
CUTTING_FAULTS = frozenset(('kill', 'stop'))

CHECKS = {}


@attrs.define
class Observations:
    """Everything that a run observed, as input of the checks.

    Parameters
    ----------
    searches, bookings : list of dict
        One entry for each search and for each attempt of a booking.
    changes : list of dict
        One entry for each change of the document, in order of its round.
    revisions, sections : list of dict
        Revisions and change ids of the sections that the instances reported,
        with the time of the report.
    final_texts : dict
        Texts by section, for each instance that answered at the end.
    exits : list of dict
        Exit status of each process of an instance that got SIGTERM.
    faults : list of dict
        Injected faults: ``target``, ``kind``, ``begin`` and ``end``. Faults
        of instances also have ``running_from``, the time at which the process
        was resumed or started again, and ``ready``, whether the instance then
        became ready.
    executions : Counter
        Number of executions by key, summed over all leafs.
    searched : set of str
        Queries that any leaf ran.
    drain_arrivals : list of dict
        Searches and executions that reached a draining leaf.
    limits : list of dict
        Rate limits that leafs named: a fault with ``per_s``, the limit, and
        ``arrivals``, the Unix times of work at the leaf.
    groups_by_service : dict
        Yards of the groups of each search service, in order of group id.
    per_group : dict
        Number of partitions of a group, by ``(service, snapshot)``.
    initial_id : str
        Change id of the document with which the run started.
    injected : Counter
        Number of injected faults by kind.
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
    limits: list = attrs.Factory(list)
    groups_by_service: dict = attrs.Factory(dict)
    per_group: dict = attrs.Factory(dict)
    initial_id: str = 'initial'
    injected: Counter = attrs.Factory(Counter)

    @property
    def answers(self):
        """Return the searches that were answered with status 200."""
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
    """Register a check under the given name."""

    def register(function):
        CHECKS[name] = function
        return function

    return register


def _partition_of(record):
    return int(record['record_id'].partition('-')[0])


@check('R1-one-snapshot')
def one_snapshot(observed):
    """Find answers with a record of another snapshot than they name."""
    return [
        each['id']
        for each in observed.answers
        if any(
            record['fields'].get('snapshot') != each['data']['snapshot']
            for record in each['data']['records']
        )
    ]


@check('R1-no-record-twice')
def no_record_twice(observed):
    """Find answers that contain a record twice."""
    return [
        each['id']
        for each in observed.answers
        if len({record['record_id'] for record in each['data']['records']})
        != len(each['data']['records'])
    ]


@check('R2-complete-is-true')
def complete_is_true(observed):
    """Find answers that claim completeness without exactly all records."""
    problems = []
    for each in observed.answers:
        data = each['data']
        if not data['coverage']['complete']:
            continue
        groups = len(observed.groups_by_service[each['service']])
        count = groups * observed.per_group[each['service'], data['snapshot']]
        number = GOODS.index(each['query'].partition('#')[0])
        expected = {f'{index:04d}-{number}' for index in range(count)}
        if {record['record_id'] for record in data['records']} != expected:
            problems.append(each['id'])
    return problems


@check('R2-coverage-is-true')
def coverage_is_true(observed):
    """Find answers whose coverage differs from the records they contain."""
    return [
        each['id']
        for each in observed.answers
        if not _is_coverage_true(observed, each)
    ]


def _is_coverage_true(observed, each):
    # Every partition has exactly one record for each query, so the partitions
    # of the records are those that were searched.
    data = each['data']
    coverage = data['coverage']
    found = {_partition_of(record) for record in data['records']}
    if not coverage['known']:
        return not coverage['complete'] and not found
    per_group = observed.per_group[each['service'], data['snapshot']]
    yards = observed.groups_by_service[each['service']]
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
def own_answer(observed):
    """Find answers with the id, query, key or body of another request."""
    searches = [
        each['id']
        for each in observed.answers
        if each['data']['request_id'] != each['id']
        or any(
            record['fields'].get('query') != each['query']
            for record in each['data']['records']
        )
    ]
    bookings = [
        each['key']
        for each in observed.bookings
        if each['status'] == 200
        and (
            each['data']['key'] != each['key']
            or each['data']['outcome'] != {'booked': each['body']}
        )
    ]
    return searches + bookings


@check('R4-search-not-run')
def search_not_run(observed):
    """Find searches that were refused as not run but ran on a leaf."""
    return [
        each['id']
        for each in observed.searches
        if each['execution'] == 'not_run' and each['query'] in observed.searched
    ]


def _attempts_by_key(observed):
    attempts = defaultdict(list)
    for each in observed.bookings:
        attempts[each['key']].append(each)
    return attempts


@check('R4-booking-not-run')
def booking_not_run(observed):
    """Find bookings that ran although every attempt was refused as not run."""
    return [
        key
        for key, attempts in _attempts_by_key(observed).items()
        if all(each['execution'] == 'not_run' for each in attempts)
        and observed.executions[key]
    ]


@check('R5-at-most-once')
def at_most_once(observed):
    """Find keys that were executed more than once over all leafs."""
    return [key for key, count in observed.executions.items() if count > 1]


@check('R5-ran-is-true')
def ran_is_true(observed):
    """Find bookings that were answered as run but ran on no leaf."""
    return [
        each['key']
        for each in observed.bookings
        if each['execution'] == 'ran' and not observed.executions[each['key']]
    ]


@check('R6-drain')
def drain(observed):
    """Find work that reached a leaf more than 3 s after its drain signal.

    An instance that was stopped or restarted during the drain can read the
    signal only when it runs again. Work is therefore allowed from then until
    3 s after the instance is ready.
    """
    return [
        each
        for each in observed.drain_arrivals
        if each['since_s'] > DRAIN_LIMIT_S
        and not any(
            fault['running_from'] <= each['at'] <= fault['end'] + DRAIN_LIMIT_S
            for fault in observed.faults
            if 'running_from' in fault
        )
    ]


@check('R7-no-request-cut')
def no_request_cut(observed):
    """Find unanswered requests to instances that were not killed or stopped."""
    return [
        each.get('id') or each['key']
        for each in (*observed.searches, *observed.bookings)
        if each['status'] is None
        and not observed.has_fault(
            each['instance'], each['begin'], each['end'], CUTTING_FAULTS
        )
    ]


@check('R7-exit-status')
def exit_status(observed):
    """Find instances that got SIGTERM and exited with another status than 0."""
    return [each for each in observed.exits if each['status'] != 0]


@check('ready-after-fault')
def ready_after_fault(observed):
    """Find faults after which the instance did not become ready again."""
    return [fault for fault in observed.faults if fault.get('ready') is False]


def _exceeds_limit(observed, limit, begin):
    """Return whether too much work reached a limited leaf in a window.

    An instance that was killed, stopped or started again shortly before or in
    the window need not know the limit.
    """
    end = begin + LIMIT_WINDOW_S
    is_excused = any(
        each['target'].startswith('entry')
        and each['begin'] <= end
        and each['end'] + LIMIT_SETTLING_S >= begin
        for each in observed.faults
    )
    count = sum(begin <= each < end for each in limit['arrivals'])
    allowed = 1.5 * limit['per_s'] * LIMIT_WINDOW_S + LIMIT_TOLERANCE
    return count > allowed and not is_excused


@check('leaf-limit-is-kept')
def leaf_limit_is_kept(observed):
    """Find windows in which a leaf got more than the limit that it named."""
    problems = []
    for limit in observed.limits:
        named = [each for each in limit['arrivals'] if each >= limit['begin']]
        begins = [
            each
            for each in named
            if each >= named[0] + LIMIT_SETTLING_S
            and each + LIMIT_WINDOW_S <= limit['end']
        ]
        problems += [
            {'leaf': limit['target'], 'per_s': limit['per_s'], 'begin': begin}
            for begin in begins
            if _exceeds_limit(observed, limit, begin)
        ]
    return problems


@check('R8-revision-never-falls')
def revision_never_falls(observed):
    """Find revisions lower than an earlier one of the same process."""
    highest = {}
    problems = []
    for each in observed.revisions:
        process = (each['instance'], each['incarnation'])
        if each['revision'] < highest.get(process, 0):
            problems.append(each)
        highest[process] = max(each['revision'], highest.get(process, 0))
    return problems


def _outdated_ids(observed, section, begin):
    """Return the change ids that no instance may hold any more.

    These are the initial document and all changes before the last round with
    a change that was accepted by the time ``begin``; empty if none was.

    Changes of one round race with each other, so that each of them may be
    the last one in force. A change with an unknown outcome may take effect at
    any time and is never outdated.
    """
    accepted = [
        each
        for each in observed.changes
        if each['section'] == section
        and each['result'] == 'accepted'
        and each['end'] <= begin
    ]
    if not accepted:
        return frozenset()
    last_round = max(each['round'] for each in accepted)
    return {
        each['change_id']
        for each in observed.changes
        if each['section'] == section
        and each['round'] < last_round
        and each['result'] != 'unknown'
    } | {observed.initial_id}


@check('R8-in-force-within-12s')
def in_force(observed):
    """Find instances that hold an outdated section for more than 12 s.

    Instances are left out while they or the key-value service have a fault
    and for 12 s after it.
    """
    problems = []
    for each in observed.sections:
        begin = each['at'] - IN_FORCE_LIMIT_S
        if any(
            observed.has_fault(target, begin, each['at'])
            for target in (each['instance'], 'kv')
        ):
            continue
        for section, change_id in each['change_ids'].items():
            if change_id in _outdated_ids(observed, section, begin):
                problems.append({**each, 'section': section})
    return problems


@check('R8-same-texts-at-end')
def same_texts_at_end(observed):
    """Find sections that differ at the end, or whose last text is outdated."""
    problems = []
    for section in sorted({each['section'] for each in observed.changes}):
        changes = [
            each for each in observed.changes if each['section'] == section
        ]
        outdated = _outdated_ids(observed, section, float('inf'))
        # The parsed values are compared, since the command-line tool sends a
        # section as the lines of its file, with another indentation.
        allowed = [
            yaml.safe_load(each['text'])
            for each in changes
            if each['change_id'] not in outdated
            and each['result'] in {'accepted', 'unknown'}
        ]
        texts = {held.get(section) for held in observed.final_texts.values()}
        is_allowed = not outdated or all(
            yaml.safe_load(text or '') in allowed for text in texts
        )
        if len(texts) > 1 or not is_allowed:
            problems.append(section)
    return problems


def run_checks(observed):
    """Run every check and return the problems by name of the check."""
    return {name: function(observed) for name, function in CHECKS.items()}
