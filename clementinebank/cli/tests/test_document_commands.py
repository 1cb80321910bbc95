"""Tests of the ``document`` commands.

They guard against an apply that reverts a section which another operator
changed after the file was shown, and against a report that contradicts what
happened to the change, for example after a lost reply. The commands run
against fake instances in this process that share a fake of the key-value
service.
"""

import json
from types import SimpleNamespace

import attrs
import curio
import pytest
from result import Err, Ok

from clementinebank.cli import _apply_command, _client, main
from clementinebank.cli._advice import DEFAULT_ADVICE, advice_for
from clementinebank.cli._client import Reply
from clementinebank.cli._edits import SectionEdits, find_edits
from clementinebank.coordination.tests.fakes import FakeKeyValueService, Fault
from clementinebank.document import DOCUMENT_KEY, HeadRecord, decode_head
from clementinebank.document.tests.samples import (
    TEXTS,
    change_id,
    desk,
    first_head,
    next_head,
    orders,
)
from clementinebank.errors import Execution
from clementinebank.http import HttpRequest
from clementinebank.server import Listener
from clementinebank.server._routes import find_route


async def dispatch(instance, listener, request):
    """Return the response of the route that matches a request."""
    match = find_route(listener, request).unwrap()
    return await match.call(instance, request)


FIRST, SECOND = '127.0.0.1:9002', '127.0.0.1:9012'
BOTH = ['--operators', FIRST, '--operators', SECOND]


@attrs.define(eq=False)
class FakeInstance:
    """Instance with a head record in force and a shared key-value service."""

    key_value: FakeKeyValueService
    head: HeadRecord = HeadRecord()
    document_revision: int = 0

    @property
    def follower(self):
        """Return a stand-in that gives no reason to refuse a change."""
        return SimpleNamespace(
            exchange=SimpleNamespace(change_failure=lambda time: None)
        )

    async def activate(self, head):
        if head.revision > self.head.revision:
            self.head = head
            self.document_revision = head.revision


@attrs.define(eq=False)
class FakeFleet:
    """Fake instances by address, which replace the HTTP calls of the tool.

    Addresses in ``refusing`` refuse connections. Those in ``losing_replies``
    apply a change, but the tool gets a failure in place of the reply.
    """

    key_value: FakeKeyValueService
    instances: dict
    refusing: set = attrs.Factory(set)
    losing_replies: set = attrs.Factory(set)

    @property
    def texts(self):
        entry = self.key_value.entries_by_key[DOCUMENT_KEY]
        return decode_head(entry.value).texts_by_section

    async def fetch_json(self, host, port, request, timeout_s):
        peer = f'{host}:{port}'
        instance = self.instances.get(peer)
        if instance is None or peer in self.refusing:
            failure = _client._unreachable_failure(
                'refused', peer, Execution.NOT_RUN
            )
            return Err(failure)
        if request.path == '/v1/status':
            body = {'ready': True, 'revision': instance.head.revision}
            return Ok(Reply(200, body))
        response = await dispatch(instance, Listener.OPERATORS, request)
        if peer in self.losing_replies and request.method == 'POST':
            failure = _client._unreachable_failure(
                'lost', peer, Execution.UNKNOWN
            )
            return Err(failure)
        return Ok(Reply(response.status, json.loads(response.body)))


@pytest.fixture
def fleet(monkeypatch):
    key_value = FakeKeyValueService()
    head = first_head()
    key_value.put(DOCUMENT_KEY, head.encode())
    fake_fleet = FakeFleet(
        key_value,
        {
            FIRST: FakeInstance(key_value, head),
            SECOND: FakeInstance(key_value, head),
        },
    )
    monkeypatch.setattr(_client, 'fetch_json', fake_fleet.fetch_json)
    monkeypatch.setattr('clementinebank.cli._confirm.POLL_INTERVAL_S', 0.001)
    return fake_fleet


@pytest.fixture
def run(capsys):
    def run_tool(*arguments):
        status = main(['document', *map(str, arguments)])
        return status, ''.join(capsys.readouterr())

    return run_tool


@pytest.fixture
def shown(fleet, run, tmp_path):
    """Return the path of a file that ``show`` wrote at revision 1."""
    path = tmp_path / 'document.yaml'
    assert run('show', '--output', path)[0] == 0
    return path


def edit(path, before, after):
    text = path.read_text()
    assert before in text
    path.write_text(text.replace(before, after))


def other_change(fleet, **texts):
    entry = fleet.key_value.entries_by_key[DOCUMENT_KEY]
    head = next_head(decode_head(entry.value), 77, 'bo', **texts)
    fleet.key_value.put(DOCUMENT_KEY, head.encode())
    for instance in fleet.instances.values():
        instance.head = head


def test_check_names_lines_of_the_file(run, tmp_path):
    path = tmp_path / 'document.yaml'
    path.write_text('# Intro.\n\nfleet:\n  owner: a\n  colour: red\n')
    status, text = run('check', path)
    assert status == 1
    assert 'line 5: section fleet: colour: unknown field' in text
    status, text = run('check', path, '--format', 'json')
    assert json.loads(text)['problems'][0]['section'] == 'fleet'
    assert run('check', tmp_path / 'absent.yaml')[0] == 2


def check_stale_file_reverts_nothing(fleet, run, shown):
    other_change(fleet, orders=orders(9))
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    status, text = run('apply', shown, '--editor', 'ana')
    assert status == 0, text
    assert 'slots: 9' in fleet.texts['service.orders']
    assert 'slots: 3  # measured in May' in fleet.texts['service.desk']
    assert fleet.texts['fleet'] == TEXTS['fleet']


def test_stale_file_applied_whole_reverts_nothing(fleet, run, shown):
    check_stale_file_reverts_nothing(fleet, run, shown)


def _edits_of_whole_file(file, base, body, deleted=()):
    """Return faulty edits: all sections, based on the revision in effect."""
    edits = find_edits(file, base, body, deleted)
    return SectionEdits(
        body['revision'],
        file.texts_by_section,
        edits.texts_in_effect,
        edits.stale_sections,
    )


def test_blind_whole_file_write_is_caught(fleet, run, shown, monkeypatch):
    monkeypatch.setattr(_apply_command, 'find_edits', _edits_of_whole_file)
    with pytest.raises(AssertionError):
        check_stale_file_reverts_nothing(fleet, run, shown)


def check_applied_file_can_be_edited_again(fleet, run, shown):
    """Check that a file can be edited and applied again without conflict."""
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    assert run('apply', shown, '--editor', 'ana')[0] == 0
    for instance in fleet.instances.values():
        instance.head = decode_head(
            fleet.key_value.entries_by_key[DOCUMENT_KEY].value
        )
    edit(shown, 'slots: 3 ', 'slots: 4 ')
    status, text = run('apply', shown, '--editor', 'ana')
    assert status == 0, text
    assert 'slots: 4 ' in fleet.texts['service.desk']


def test_applied_file_can_be_edited_on(fleet, run, shown):
    check_applied_file_can_be_edited_again(fleet, run, shown)


def test_file_with_its_old_base_cannot_be_edited_on(
    fleet, run, shown, monkeypatch
):
    monkeypatch.setattr(
        _apply_command, 'set_base_line', lambda text, revision: text
    )
    with pytest.raises(AssertionError, match='conflict'):
        check_applied_file_can_be_edited_again(fleet, run, shown)


def test_base_is_kept_when_another_change_came_between(fleet, run, shown):
    before = shown.read_text().splitlines()[0]
    other_change(fleet, orders=orders(9))
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    status, text = run('apply', shown, '--editor', 'ana')
    assert status == 0
    assert 'document show' in text
    assert shown.read_text().splitlines()[0] == before


def test_unedited_file_changes_nothing(fleet, run, shown):
    calls = len(fleet.key_value.calls)
    assert run('apply', shown)[0] == 0
    assert len(fleet.key_value.calls) == calls


def test_conflict_names_both_editors_and_the_next_step(fleet, run, shown):
    other_change(fleet, desk=desk(9))
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    status, text = run('apply', shown, '--editor', 'ana')
    assert status == 3
    assert 'service.desk: changed by bo in revision 2' in text
    assert 'ana' in text and 'next: run `clementinebank document show' in text
    status, text = run('diff', shown)
    assert status == 0 and '+  slots: 3' in text and 'conflict' in text


def test_section_removed_from_a_shown_file_is_deleted(fleet, run, shown):
    text = shown.read_text()
    shown.write_text(text[: text.index('service.orders:')])
    assert run('apply', shown)[0] == 0
    assert 'service.orders' not in fleet.texts


def test_file_without_a_base_deletes_and_reverts_nothing(fleet, run, tmp_path):
    path = tmp_path / 'part.yaml'
    path.write_text('service.orders:\n  ' + orders(9).replace('\n', '\n  '))
    assert run('apply', path)[0] == 3
    assert run('apply', path, '--base', 1)[0] == 0
    assert fleet.texts.keys() == TEXTS.keys()
    assert run('apply', path, '--base', 2, '--delete', 'service.desk')[0] == 0
    assert 'service.desk' not in fleet.texts


def test_dry_run_changes_nothing(fleet, run, shown):
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    status, text = run('apply', shown, '--dry-run')
    assert status == 0 and 'would be accepted: service.desk' in text
    assert fleet.texts == TEXTS


def test_invalid_document_names_lines_of_the_file(fleet, run, shown):
    edit(shown, 'slots: 2 ', 'slots: 30 ')
    status, text = run('apply', shown)
    lines = shown.read_text().splitlines()
    line = next(n for n, each in enumerate(lines, 1) if 'slots: 30' in each)
    assert status == 1
    assert f'line {line}: section service.desk: slots:' in text


def test_lost_reply_is_settled_through_another_instance(fleet, run, shown):
    fleet.losing_replies.add(FIRST)
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    status, text = run('apply', shown, *BOTH)
    assert status == 0 and 'accepted as revision 2' in text
    entry = fleet.key_value.entries_by_key[DOCUMENT_KEY]
    assert len(decode_head(entry.value).changes) == 2


def test_unknown_outcome_can_be_repeated_with_its_id(fleet, run, shown):
    fleet.key_value.is_down = True
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    status, text = run('apply', shown, '--change-id', change_id(5))
    assert status == 4
    assert f'change id: {change_id(5)}' in text
    assert '--change-id' in text.partition('next: ')[2]
    fleet.key_value.is_down = False
    for _ in range(2):
        status, text = run('apply', shown, '--change-id', change_id(5))
        assert status == 0 and 'revision 2' in text


def test_refusal_after_a_lost_reply_is_unknown(fleet, run, shown):
    fleet.losing_replies.add(FIRST)
    fleet.key_value.faults.extend([None, Fault.LOST_BEFORE_EFFECT])
    fleet.key_value.faults.extend([Fault.DOWN] * 3)
    ahead = next_head(fleet.instances[SECOND].head, 8, orders=orders(9))
    fleet.instances[SECOND].head = ahead
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    status, text = run('apply', shown, *BOTH)
    assert status == 4 and 'head_restored' in text


def test_unreachable_instances(fleet, run, shown):
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    fleet.refusing.add(FIRST)
    assert run('apply', shown)[0] == 5
    assert run('show')[0] == 5
    assert run('apply', shown, *BOTH)[0] == 0


def test_wait_names_the_instances_not_confirmed(fleet, run, shown):
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    status, text = run('apply', shown, *BOTH, '--wait', '0.01')
    assert status == 4
    assert f'not confirmed within 0.01 s: {SECOND} (revision 1)' in text
    assert 'accepted as revision 2' in text


def test_wait_is_done_once_every_instance_confirms(fleet, run, shown):
    edit(shown, 'slots: 2 ', 'slots: 3 ')
    fleet.instances[SECOND] = fleet.instances[FIRST]
    status, text = run('apply', shown, *BOTH, '--wait', '5')
    assert status == 0 and 'confirmed by 2 instances' in text


def test_history_and_status(fleet, run, shown, capsys):
    other_change(fleet, desk=desk(9))
    status, text = run('history')
    assert status == 0
    assert text.splitlines()[0].startswith('revision 2')
    assert 'bo' in text and change_id(77) in text
    fleet.instances[SECOND].head = first_head()
    assert main(['status', *BOTH]) == 0
    assert 'differ in their revision: 1, 2' in capsys.readouterr().out
    fleet.refusing.add(SECOND)
    assert main(['status', *BOTH, '--format', 'json']) == 5
    assert len(json.loads(capsys.readouterr().out)['instances']) == 2


def test_show_does_not_overwrite_a_file(run, shown):
    text = shown.read_text()
    assert run('show', '--output', shown)[0] == 2
    assert run('show', '--output', shown, '--overwrite')[0] == 0
    assert shown.read_text() == text


@pytest.mark.parametrize(
    'address', ['localhost', '127.0.0.1:x', ':1', 'a:70000']
)
def test_invalid_address_is_a_usage_error(run, address):
    with pytest.raises(SystemExit) as caught:
        run('show', '--operators', address)
    assert caught.value.code == 2


@pytest.mark.parametrize(
    'code',
    [
        'base_ahead_of_head',
        'change_id_reused',
        'head_invalid',
        'head_moving',
        'head_restored',
        'history_trimmed',
        'instance_unreachable',
        'invalid_document',
        'key_value_refused',
        'key_value_timeout',
        'key_value_unreachable',
        'section_conflict',
        'time_limit',
    ],
)
def test_failure_names_the_next_step(code):
    assert advice_for(code) != DEFAULT_ADVICE


@pytest.mark.parametrize('body', [b'', b'{"sections": {}}', b'[' * 9000])
def test_malformed_change_is_refused(fleet, body):
    request = HttpRequest('POST', '/v1/document/changes', body=body)
    response = curio.run(
        dispatch, fleet.instances[FIRST], Listener.OPERATORS, request
    )
    assert response.status == 400
    assert json.loads(response.body)['error']['code'] == 'invalid_request'
