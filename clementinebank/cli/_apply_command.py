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
from clementinebank.cli._commands import (
    CommandOutput,
    ExitStatus,
    register_command,
)
from clementinebank.cli._confirm import wait_for_confirmation
from clementinebank.cli._document_commands import (
    CHANGES_TARGET,
    DOCUMENT_TARGET,
    invalid_document_output,
    read_document_file,
)
from clementinebank.cli._edits import (
    DOCUMENT_REPLY_FIELDS,
    SectionEdits,
    find_edits,
)
from clementinebank.cli._operators import (
    add_operators_option,
    get_from_first,
    operator_addresses,
)
from clementinebank.document import DocumentFile, set_base_line
from clementinebank.errors import Execution, Failure, FieldProblem, Step

# Longer than the time limit of an instance for accepting a change, so that its
# result arrives before the call times out.
APPLY_TIMEOUT_S = 15.0
EXIT_STATUS_BY_RESULT = {
    'accepted': ExitStatus.DONE,
    'valid': ExitStatus.DONE,
    'conflict': ExitStatus.CONFLICT,
    'invalid': ExitStatus.REFUSED,
    'refused': ExitStatus.REFUSED,
    'unknown': ExitStatus.UNKNOWN,
}
# Error codes of an unknown outcome that keep their own advice, because
# repeating the command does not help.
CODES_WITH_OWN_ADVICE = frozenset(('history_trimmed', 'base_ahead_of_head'))
# Results that hold whichever instance returns them, even if an earlier attempt
# through another instance ended with an unknown outcome.
CONCLUSIVE_RESULTS = frozenset(('accepted', 'valid', 'conflict', 'invalid'))


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
    add_operators_option(parser, 'repeat it to try several instances in turn')


@register_command(
    'document apply',
    'send the edited sections of a file as one change',
    'clementinebank document apply document.yaml --editor ana --wait 10',
    _configure,
)
def apply(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Send the edited sections of a file as one change; report the result."""
    parsed = read_document_file(options.file)
    if isinstance(parsed, Err):
        return parsed
    file = parsed.ok_value
    if isinstance(file, CommandOutput):
        return Ok(file)
    editor = _editor_of(options)
    if isinstance(editor, Err):
        return editor
    addresses = operator_addresses(options)
    document = get_from_first(addresses, DOCUMENT_TARGET, DOCUMENT_REPLY_FIELDS)
    if isinstance(document, Err):
        return document
    edits = find_edits(file, options.base, document.ok_value, options.delete)
    if not edits.texts_by_section:
        message = f'no section differs from revision {edits.base_revision}'
        return Ok(CommandOutput(message, {'result': 'unchanged'}))
    change = {
        'change_id': str(options.change_id or uuid.uuid4()),
        'base_revision': edits.base_revision,
        'editor': editor.ok_value,
        'sections': edits.texts_by_section,
    }
    reply_body = _send(addresses, change, dry_run=options.dry_run)
    output = _result_output(reply_body, edits, file)
    if reply_body['result'] == 'accepted' and file.base is not None:
        output = _record_new_base(
            output, options.file, edits, document.ok_value
        )
    if options.wait is None or reply_body['result'] != 'accepted':
        return Ok(output)
    return Ok(wait_for_confirmation(output, addresses, options.wait))


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
    """Send a change to the instances in turn until one result is final.

    A refusal ends the attempts as well.

    Returns
    -------
    dict
        Body with the final result, or else with the result of all attempts:
        ``unknown``, ``refused``, or ``unreachable`` if no instance received
        the change.
    """
    query = '?dry_run=1' if dry_run else ''
    target = f'{CHANGES_TARGET}{query}'
    bodies = []
    for address in addresses:
        reply = call(address, 'POST', target, change, APPLY_TIMEOUT_S)
        bodies.append(_result_body(reply, change['change_id']))
        if bodies[-1]['result'] in CONCLUSIVE_RESULTS:
            return bodies[-1]
        if bodies[-1]['result'] == 'refused':
            break
    return _combine_bodies(bodies, dry_run=dry_run)


def _combine_bodies(
    bodies: list[dict[str, Any]], *, dry_run: bool
) -> dict[str, Any]:
    """Return one body for attempts of which none had a final result."""
    results = {body['result'] for body in bodies}
    # Prefer the last instance that may have received the change.
    chosen = next(
        (body for body in reversed(bodies) if body['result'] != 'unreachable'),
        bodies[-1],
    )
    # One unknown result makes the outcome unknown: a refusal by one instance
    # does not undo what another may have written.
    if 'unknown' in results and not dry_run:
        return {**chosen, 'result': 'unknown'}
    return chosen


def _result_body(
    reply: Result[Reply, Failure], change_id: str
) -> dict[str, Any]:
    """Return the body of a reply; build one if the call failed."""
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
    failure = Failure(
        'invalid_reply',
        f'the body has neither a result nor an error: {body!r}',
        Step.READ,
    )
    return {'result': 'unknown', 'change_id': change_id, **failure.as_json()}


def _result_output(
    reply_body: dict[str, Any], edits: SectionEdits, file: DocumentFile
) -> CommandOutput:
    result = reply_body['result']
    status = EXIT_STATUS_BY_RESULT.get(result, ExitStatus.UNREACHABLE)
    if status is not ExitStatus.DONE:
        return _not_accepted_output(reply_body, file, status)
    names = ', '.join(sorted(edits.texts_by_section))
    text = f'accepted as revision {reply_body.get("revision")}: {names}'
    if result == 'valid':
        text = f'would be accepted: {names}'
    return CommandOutput(text, reply_body, status)


def _record_new_base(
    output: CommandOutput,
    path: Path,
    edits: SectionEdits,
    document: dict[str, Any],
) -> CommandOutput:
    """Record the accepted revision in the file as its new base revision.

    The file can then be edited and applied again. The base is left as it is
    if another change was accepted between the base of the file and the
    accepted revision: with the new base, a later apply of the file could
    undo the other change.

    Returns
    -------
    CommandOutput
        The output, with a hint if the base was not recorded.
    """
    revision = output.data.get('revision')
    if edits.stale_sections or revision != document['revision'] + 1:
        hint = 'other sections changed; run `clementinebank document show`'
        return attrs.evolve(output, text=f'{output.text}\n{hint}')
    try:
        path.write_bytes(set_base_line(path.read_text(), revision).encode())
    except OSError as error:
        hint = f'the base revision was not recorded in {path}: {error}'
        return attrs.evolve(output, text=f'{output.text}\n{hint}')
    return output


def _not_accepted_output(
    reply_body: dict[str, Any], file: DocumentFile, status: ExitStatus
) -> CommandOutput:
    error = reply_body['error']
    message = error['message']
    if reply_body['result'] == 'invalid':
        located = invalid_document_output(_located_problems(reply_body, file))
        reply_body = {**reply_body, **located.data}
        message = f'the document would be invalid\n{located.text}'
    code = error['code']
    if reply_body['result'] == 'unknown' and code not in CODES_WITH_OWN_ADVICE:
        code = 'outcome_unknown'
    next_step = advice_for(code)
    text = (
        f'{reply_body["result"]}: {error["code"]}: {message}\n'
        f'change id: {reply_body["change_id"]}\nnext: {next_step}'
    )
    return CommandOutput(text, {**reply_body, 'next': next_step}, status)


def _located_problems(
    reply_body: dict[str, Any], file: DocumentFile
) -> list[FieldProblem]:
    names = tuple(field.name for field in attrs.fields(FieldProblem))
    problems = [
        FieldProblem(**{name: raw.get(name) for name in names})
        for raw in reply_body['problems']
    ]
    return [file.with_file_line(problem) for problem in problems]
