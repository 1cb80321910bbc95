"""Tests of the ``explain`` command on log files.

They guard against an explanation that misses the cause of a failed request in
the logs, or that shows lines on other leafs, times or instances in its place.
"""

import io
import json

import pytest

from clementinebank.cli import main

LEAF = 'i-7@1700000000000'


def line(at, kind, **facts):
    return json.dumps({'timestamp': at, 'message_type': kind, **facts})


def ended(request_id, events, **facts):
    return line(
        1000.0,
        'request:ended',
        request_id=request_id,
        instance='g-1',
        route='r-a',
        version=12,
        outcome='refused',
        elapsed_ms=100.0,
        route_version=11,
        in_force_s=0.05,
        revision=77,
        confirmed_s=0.4,
        events=events,
        **facts,
    )


FIRST = [
    line(900.0, 'gateway:started', instance='g-1'),
    line(910.0, 'configuration:activated', version=11),
    line(990.0, 'configuration:activated', version=12),
    line(989.0, 'feed:configuration', version=11, source='store'),
    line(990.0, 'feed:configuration', version=12, source='store'),
    line(991.0, 'feed:lost', reason='unreachable'),
    line(992.0, 'feed:configuration_not_newer', version=10, in_force=12),
    line(800.0, 'leaf:ejected', leaf=LEAF, failures=9),
    line(995.0, 'leaf:draining', leaf=LEAF),
    line(996.0, 'leaf:ejected', leaf='i-8@1', failures=1),
    'text of the platform before '
    + ended('q-1', [[0.0, 'sent', {'leaf': LEAF}]]),
    'no message at all',
    '{"broken": ',
]
SECOND = [
    line(900.0, 'gateway:started', instance='g-2'),
    line(998.0, 'leaf:ejected', leaf=LEAF, failures=3),
    line(
        1001.0,
        'request:refused',
        request_id='q-1',
        instance='g-2',
        code='no_route',
        reason='no route of version 11 matches',
        confirmed_s=9.5,
    ),
]


@pytest.fixture(name='logs')
def _logs(tmp_path):
    paths = []
    for name, lines in (('a.log', FIRST), ('b.log', SECOND)):
        path = tmp_path / name
        path.write_text('\n'.join(lines))
        paths.append(str(path))
    return paths


def test_story_names_the_events_and_what_the_instance_believed(logs, capsys):
    assert main(['explain', 'q-1', '--log', *logs]) == 0
    printed = capsys.readouterr().out
    assert 'g-1: refused after 100.0 ms, route r-a, version 12' in printed
    assert f'sent  leaf={LEAF}' in printed
    assert '-4.90 s   leaf:draining' in printed
    assert 'feed:lost' in printed
    assert 'configuration:activated  version=12' in printed
    assert 'feed:configuration_not_newer  version=10 in_force=12' in printed
    for detail in ('route_version: 11', 'in_force_s: 0.05', 'revision: 77'):
        assert detail in printed
    # Lines on other leafs, of other times and of other instances.
    for unrelated in ('i-8', 'failures=9', 'failures=3', 'version=11'):
        assert unrelated not in printed


def test_every_instance_that_had_the_request_is_told(logs, capsys):
    main(['explain', 'q-1', '--log', *logs])
    printed = capsys.readouterr().out
    assert printed.index('g-1: refused') < printed.index('g-2: no_route')
    assert 'confirmed_s: 9.5' in printed


def test_story_is_machine_readable(logs, capsys):
    assert main(['explain', 'q-1', '--format', 'json', '--log', *logs]) == 0
    stories = json.loads(capsys.readouterr().out)['stories']
    assert [each['ending']['source'] for each in stories] == ['g-1', 'g-2']


def test_standard_input_is_read(monkeypatch, capsys):
    monkeypatch.setattr('sys.stdin', io.StringIO('\n'.join(FIRST)))
    assert main(['explain', 'q-1', '--log', '-']) == 0
    assert 'g-1: refused' in capsys.readouterr().out


def test_request_that_is_not_on_record_is_said_to_be_so(logs, capsys):
    assert main(['explain', 'q-9', '--log', *logs]) == 1
    assert 'not_on_record' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('arguments', 'field'),
    [(['--log', 'missing.log'], 'missing.log'), ([], 'operators')],
)
def test_bad_arguments_name_the_field(arguments, field, capsys):
    assert main(['explain', 'q-1', *arguments]) == 2
    assert field in capsys.readouterr().err
