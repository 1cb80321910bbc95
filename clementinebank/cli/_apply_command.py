"""The ``document apply`` command."""

import argparse
import getpass
import uuid
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from clementinebank.cli._advice import advice_for
from clementinebank.cli._client import Reply, call
from clementinebank.cli._commands import ExitStatus, Report, command
from clementinebank.cli._confirm import confirm
from clementinebank.cli._document_commands import (
    CHANGES_TARGET,
    DOCUMENT_TARGET,
    problems_report,
    read_file,
)
from clementinebank.cli._edits import DOCUMENT_FIELDS, Edits, find_edits
from clementinebank.cli._operators import (
    add_operators,
    operators_of,
    read_first,
)
from clementinebank.document import DocumentFile, record_base
from clementinebank.errors import Execution, Failure, FieldProblem, Step

# Above the time within which an instance settles a change.
APPLY_TIMEOUT_S = 15.0
EXIT_STATUS_BY_RESULT = {
    'accepted': ExitStatus.DONE,
    'valid': ExitStatus.DONE,
    'conflict': ExitStatus.CONFLICT,
    'invalid': ExitStatus.REFUSED,
    'refused': ExitStatus.REFUSED,
    'unknown': ExitStatus.UNKNOWN,
}
# Reasons of an unknown outcome for which a repetition is no remedy.
EXPLAINED_CODES = frozenset(('history_trimmed', 'base_ahead_of_head'))
# Each of these holds whichever instance states it, also after an attempt
# through another instance whose outcome is unknown.
FINAL_RESULTS = frozenset(('accepted', 'valid', 'conflict', 'invalid'))


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', type=Path, help='document file')
    parser.add_argument(
        '--base',
        type=int,
        help='base revision; by default that recorded in the file, else 0',
    )
    parser.add_argument(
        '--editor', help='who sends the change; by default the user name'
    )
    parser.add_argument(
        '--change-id',
        type=uuid.UUID,
        help='UUID of an earlier apply whose outcome is unknown',
    )
    parser.add_argument(
        '--delete',
        action='append',
        default=[],
        metavar='SECTION',
        help='delete a section; may be repeated',
    )
    parser.add_argument(
        '--dry-run',
        action='store_true',
        help='report conflicts and problems without a change',
    )
    parser.add_argument(
        '--wait',
        type=float,
        metavar='SECONDS',
        help='wait until every instance given by --operators confirms',
    )
    add_operators(parser, 'repeat it to try several instances in turn')


@command(
    'document apply',
    'send the edited sections of a file as one change',
    'clementinebank document apply document.yaml --editor ana --wait 10',
    _configure,
)
def apply(options: argparse.Namespace) -> Result[Report, Failure]:
    """Send the edited sections of a file."""
    parsed = read_file(options.file)
    if isinstance(parsed, Err):
        return parsed
    file = parsed.ok_value
    if isinstance(file, Report):
        return Ok(file)
    editor = _editor_of(options)
    if isinstance(editor, Err):
        return editor
    addresses = operators_of(options)
    found = read_first(addresses, DOCUMENT_TARGET, DOCUMENT_FIELDS)
    if isinstance(found, Err):
        return found
    edits = find_edits(file, options.base, found.ok_value, options.delete)
    if not edits.texts_by_section:
        message = f'no section differs from revision {edits.base_revision}'
        return Ok(Report(message, {'result': 'unchanged'}))
    change = {
        'change_id': str(options.change_id or uuid.uuid4()),
        'base_revision': edits.base_revision,
        'editor': editor.ok_value,
        'sections': edits.texts_by_section,
    }
    settled = _send(addresses, change, dry_run=options.dry_run)
    report = _report(settled, edits, file)
    if settled['result'] == 'accepted' and file.base is not None:
        report = _with_new_base(report, options.file, edits, found.ok_value)
    if options.wait is None or settled['result'] != 'accepted':
        return Ok(report)
    return Ok(confirm(report, addresses, options.wait))


def _editor_of(options: argparse.Namespace) -> Result[str, Failure]:
    if options.editor:
        return Ok(options.editor)
    try:
        return Ok(getpass.getuser())
    except (OSError, KeyError, ImportError):
        message = 'the user name is unknown; give --editor'
        return Err(Failure('invalid_argument', message, Step.ACCEPT))


def _send(
    addresses: Iterable[str], change: dict[str, Any], *, dry_run: bool
) -> dict[str, Any]:
    """Send a change to one instance after the other until it is settled.

    Returns
    -------
    dict
        Body of the reply that settles the change; its result is
        ``unreachable`` if no instance received the change.
    """
    query = '?dry_run=1' if dry_run else ''
    target = f'{CHANGES_TARGET}{query}'
    bodies = []
    for address in addresses:
        reply = call(address, 'POST', target, change, APPLY_TIMEOUT_S)
        bodies.append(_body_of(reply, change['change_id']))
        if bodies[-1]['result'] in FINAL_RESULTS:
            return bodies[-1]
        if bodies[-1]['result'] == 'refused':
            break
    return _unsettled(bodies, dry_run=dry_run)


def _unsettled(
    bodies: list[dict[str, Any]], *, dry_run: bool
) -> dict[str, Any]:
    # A refusal by one instance does not undo what another may have written.
    outcomes = {body['result'] for body in bodies}
    # Any answer says more than an instance that was not reached.
    settled = next(
        (body for body in reversed(bodies) if body['result'] != 'unreachable'),
        bodies[-1],
    )
    if 'unknown' in outcomes and not dry_run:
        return {**settled, 'result': 'unknown'}
    return settled


def _body_of(reply: Result[Reply, Failure], change_id: str) -> dict[str, Any]:
    if isinstance(reply, Err):
        failure = reply.err_value
        is_sent = failure.execution is not Execution.NOT_RUN
        return {
            'result': 'unknown' if is_sent else 'unreachable',
            'change_id': change_id,
            **failure.as_json(),
        }
    body = reply.ok_value.data
    if isinstance(body, dict) and body.get('result') in EXIT_STATUS_BY_RESULT:
        return body
    if isinstance(body, dict) and 'error' in body:
        return {'result': 'refused', 'change_id': change_id, **body}
    failure = Failure('invalid_reply', f'got {body!r}', Step.READ)
    return {'result': 'unknown', 'change_id': change_id, **failure.as_json()}


def _report(
    settled: dict[str, Any], edits: Edits, file: DocumentFile
) -> Report:
    outcome = settled['result']
    status = EXIT_STATUS_BY_RESULT.get(outcome, ExitStatus.UNREACHABLE)
    if status is not ExitStatus.DONE:
        return _report_rejected(settled, file, status)
    names = ', '.join(sorted(edits.texts_by_section))
    text = f'accepted as revision {settled.get("revision")}: {names}'
    if outcome == 'valid':
        text = f'would be accepted: {names}'
    return Report(text, settled, status)


def _with_new_base(
    report: Report, path: Path, edits: Edits, before: dict[str, Any]
) -> Report:
    """Record the accepted revision in the file, so that it can be edited on.

    This is right only while no other change came between the base of the
    file and the accepted revision; otherwise a later apply of this file
    could undo the other change.
    """
    revision = report.data.get('revision')
    if edits.stale_sections or revision != before['revision'] + 1:
        hint = 'other sections changed; run `clementinebank document show`'
        return attrs.evolve(report, text=f'{report.text}\n{hint}')
    try:
        path.write_bytes(record_base(path.read_text(), revision).encode())
    except OSError as error:
        hint = f'the base revision was not recorded in {path}: {error}'
        return attrs.evolve(report, text=f'{report.text}\n{hint}')
    return report


def _report_rejected(
    settled: dict[str, Any], file: DocumentFile, status: ExitStatus
) -> Report:
    error = settled['error']
    message = error['message']
    if settled['result'] == 'invalid':
        located = problems_report(_problems_of(settled, file))
        settled = {**settled, **located.data}
        message = f'the document would be invalid\n{located.text}'
    code = error['code']
    if settled['result'] == 'unknown' and code not in EXPLAINED_CODES:
        code = 'outcome_unknown'
    next_step = advice_for(code)
    text = (
        f'{settled["result"]}: {error["code"]}: {message}\n'
        f'change id: {settled["change_id"]}\nnext: {next_step}'
    )
    return Report(text, {**settled, 'next': next_step}, status)


def _problems_of(
    settled: dict[str, Any], file: DocumentFile
) -> list[FieldProblem]:
    names = tuple(field.name for field in attrs.fields(FieldProblem))
    problems = [
        FieldProblem(**{name: raw.get(name) for name in names})
        for raw in settled['problems']
    ]
    return [file.locate(problem) for problem in problems]
