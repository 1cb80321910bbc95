"""Guards against checks of the soak that miss a violation.

Each test changes valid observations so that one rule is broken. Exactly the
checks of that rule must report it.
"""

import copy

import pytest

from tests.soak.checks import CHECKS, GOODS, Observations, run_checks

T0 = 1000.0
YARDS = ['north', 'south']
KEY = 'key-1'
OLD, NEW = 'change-old', 'change-new'


def _records(query, count=4, snapshot='s-1'):
    goods = query.partition('#')[0]
    return [
        {
            'record_id': f'{index:04d}-{GOODS.index(goods)}',
            'fields': {'goods': goods, 'query': query, 'snapshot': snapshot},
        }
        for index in range(count)
    ]


def _search(request_id='search-1'):
    query = f'wool#{request_id}'
    yard = {'asked': 1, 'answered': 1}
    return {
        'id': request_id,
        'service': 'desk',
        'query': query,
        'deadline_ms': 100,
        'instance': 'entry-0',
        'begin': T0,
        'end': T0 + 0.1,
        'status': 200,
        'execution': 'ran',
        'data': {
            'request_id': request_id,
            'snapshot': 's-1',
            'records': _records(query),
            'coverage': {
                'complete': True,
                'known': True,
                'partitions': 4,
                'partitions_answered': 4,
                'missing': [],
                'yards': {'north': dict(yard), 'south': dict(yard)},
            },
        },
    }


def _booking(execution='ran', status=200):
    return {
        'key': KEY,
        'body': {'rug': 1},
        'service': 'counter',
        'instance': 'entry-0',
        'begin': T0,
        'end': T0 + 0.1,
        'status': status,
        'execution': execution,
        'data': {'key': KEY, 'outcome': {'booked': {'rug': 1}}},
    }


def _change(change_id, round_number, result='accepted', end=T0):
    return {
        'change_id': change_id,
        'round': round_number,
        'section': 'service.desk',
        'text': f'text of {change_id}',
        'result': result,
        'end': end,
    }


def _sections(change_id, at):
    return {
        'instance': 'entry-0',
        'at': at,
        'change_ids': {'service.desk': change_id},
    }


def _revision(revision, incarnation=1):
    return {
        'instance': 'entry-0',
        'incarnation': incarnation,
        'revision': revision,
        'at': T0,
    }


def _fault(target, kind, begin, end):
    return {'target': target, 'kind': kind, 'begin': begin, 'end': end}


def _limit(count):
    """Return a limit of 1 a second, of which 11 in 4 s are tolerated."""
    arrivals = [T0, *(T0 + 6 + number / 10 for number in range(count))]
    fault = _fault('desk-0', 'limit', T0, T0 + 20)
    return {**fault, 'per_s': 1, 'arrivals': arrivals}


def _valid_observations():
    observed = Observations(
        searches=[_search()],
        bookings=[_booking()],
        changes=[_change(OLD, 1, end=T0), _change(NEW, 2, end=T0 + 1)],
        revisions=[_revision(3), _revision(4), _revision(1, incarnation=2)],
        sections=[_sections(OLD, T0 + 12), _sections(NEW, T0 + 14)],
        final_texts={
            'entry-0': {'service.desk': f'text of {NEW}'},
            'entry-1': {'service.desk': f'text of {NEW}'},
        },
        exits=[{'instance': 'entry-1', 'status': 0}],
        drain_arrivals=[{'leaf': 'desk-0', 'at': T0, 'since_s': 2.9}],
        limits=[_limit(count=11)],
        groups_by_service={'desk': YARDS},
        per_group={('desk', 's-1'): 2, ('desk', 's-2'): 3},
    )
    observed.executions[KEY] = 1
    observed.searched.add('wool#search-1')
    return observed


def _failed_checks(observed):
    return {name for name, found in run_checks(observed).items() if found}


FALSIFICATIONS = []


def register_falsification(*names):
    """Register a function that falsifies valid observations.

    Exactly the checks with the given names must report the result.
    """

    def register(function):
        FALSIFICATIONS.append(
            pytest.param(function, set(names), id=function.__name__)
        )
        return function

    return register


@register_falsification('R1-one-snapshot')
def mixed_snapshots(observed):
    records = observed.searches[0]['data']['records']
    records[1]['fields']['snapshot'] = 's-2'


@register_falsification('leaf-limit-is-kept')
def too_much_work_at_a_limited_leaf(observed):
    observed.limits = [_limit(count=12)]


@register_falsification('R1-no-record-twice')
def repeated_record(observed):
    records = observed.searches[0]['data']['records']
    records.append(copy.deepcopy(records[0]))


@register_falsification('R2-complete-is-true')
def complete_with_a_foreign_record(observed):
    observed.searches[0]['data']['records'][0]['record_id'] = '0000-3'


@register_falsification('R2-complete-is-true', 'R2-coverage-is-true')
def complete_without_a_partition(observed):
    observed.searches[0]['data']['records'].pop()


@register_falsification('R2-complete-is-true', 'R2-coverage-is-true')
def complete_by_the_map_of_another_snapshot(observed):
    data = observed.searches[0]['data']
    data['snapshot'] = 's-2'
    data['records'] = _records('wool#search-1', snapshot='s-2')


@register_falsification('R2-coverage-is-true')
def partition_counted_without_records(observed):
    data = observed.searches[0]['data']
    data['records'].pop()
    data['coverage'].update(complete=False)


@register_falsification('R2-coverage-is-true')
def partition_missing_from_the_list(observed):
    data = observed.searches[0]['data']
    data['records'] = data['records'][:2]
    data['coverage'].update(complete=False, partitions_answered=2)
    data['coverage']['yards']['south']['answered'] = 0


@register_falsification('R2-coverage-is-true')
def yard_counted_wrongly(observed):
    observed.searches[0]['data']['coverage']['yards']['south']['answered'] = 0


@register_falsification('R3-own-answer')
def id_of_another_request(observed):
    observed.searches[0]['data']['request_id'] = 'search-2'


@register_falsification('R3-own-answer')
def record_of_another_query(observed):
    records = observed.searches[0]['data']['records']
    records[0]['fields']['query'] = 'wool#search-2'


@register_falsification('R3-own-answer')
def outcome_of_another_booking(observed):
    observed.bookings[0]['data']['outcome'] = {'booked': {'rug': 2}}


@register_falsification('R4-search-not-run')
def refused_search_that_ran(observed):
    observed.searches[0].update(status=503, execution='not_run')


@register_falsification('R4-booking-not-run')
def refused_booking_that_ran(observed):
    observed.bookings[0].update(status=503, execution='not_run')


@register_falsification('R5-at-most-once')
def second_execution(observed):
    observed.executions[KEY] += 1


@register_falsification('R5-ran-is-true')
def answer_without_execution(observed):
    observed.executions.clear()


@register_falsification('R6-drain')
def late_work_at_a_draining_leaf(observed):
    observed.drain_arrivals[0]['since_s'] = 3.1


@register_falsification('R6-drain')
def late_work_while_another_instance_is_stopped(observed):
    fault = _fault('entry-1', 'stop', T0 - 9, T0 + 9)
    observed.faults.append({**fault, 'running_from': T0 + 8})
    observed.drain_arrivals[0]['since_s'] = 3.1


@register_falsification('R7-no-request-cut')
def cut_by_a_terminated_instance(observed):
    observed.faults.append(_fault('entry-0', 'term', T0 - 1, T0 + 1))
    observed.searches[0].update(status=None, execution='unknown')


@register_falsification('R7-no-request-cut')
def booking_cut_while_another_instance_is_killed(observed):
    observed.faults.append(_fault('entry-1', 'kill', T0 - 1, T0 + 1))
    observed.bookings[0].update(status=None, execution='unknown')


@register_falsification('R7-exit-status')
def exit_with_requests_cut(observed):
    observed.exits[0]['status'] = 3


@register_falsification('ready-after-fault')
def instance_that_never_returns(observed):
    fault = _fault('entry-1', 'term', T0, T0 + 1)
    observed.faults.append({**fault, 'ready': False})


@register_falsification('R8-revision-never-falls')
def lower_revision_in_one_life(observed):
    observed.revisions.append(_revision(3))


@register_falsification('R8-in-force-within-12s')
def old_change_after_the_limit(observed):
    observed.sections.append(_sections(OLD, T0 + 13.1))


@register_falsification('R8-in-force-within-12s')
def initial_section_after_the_limit(observed):
    observed.sections.append(_sections('initial', T0 + 13.1))


@register_falsification('R8-same-texts-at-end')
def instances_that_differ(observed):
    observed.final_texts['entry-1']['service.desk'] = f'text of {OLD}'


@register_falsification('R8-same-texts-at-end')
def reverted_everywhere(observed):
    for held in observed.final_texts.values():
        held['service.desk'] = f'text of {OLD}'


@register_falsification('R8-same-texts-at-end')
def text_of_no_change(observed):
    for held in observed.final_texts.values():
        held['service.desk'] = 'text of a rejected change'


def test_valid_observations_pass():
    assert not _failed_checks(_valid_observations())


@pytest.mark.parametrize(('falsify', 'names'), FALSIFICATIONS)
def test_falsified_observation_is_reported(falsify, names):
    observed = _valid_observations()
    falsify(observed)
    assert _failed_checks(observed) == names


def test_every_check_has_a_falsification():
    caught = {name for param in FALSIFICATIONS for name in param.values[1]}
    assert caught == set(CHECKS)


def test_allowed_cases_are_not_reported():
    observed = _valid_observations()
    # The instance was stopped when the leaf signalled its drain and when the
    # change came into force.
    fault = _fault('entry-0', 'stop', T0 + 10, T0 + 20)
    observed.faults.append({**fault, 'running_from': T0 + 19})
    observed.drain_arrivals.append(
        {'leaf': 'desk-0', 'at': T0 + 21, 'since_s': 9}
    )
    observed.sections.append(_sections(OLD, T0 + 31))
    observed.searches.append(
        {**_search('search-2'), 'status': None, 'begin': T0 + 9, 'end': T0 + 21}
    )
    # The outcome of the last change is unknown, so both texts are allowed.
    observed.changes.append(_change('change-3', 3, 'unknown', float('inf')))
    observed.sections.append(_sections('change-3', T0 + 40))
    assert not _failed_checks(observed)
    for held in observed.final_texts.values():
        held['service.desk'] = 'text of change-3'
    assert not _failed_checks(observed)
