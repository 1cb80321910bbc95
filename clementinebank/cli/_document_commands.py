"""The read-only ``document`` commands: check, show, diff and history."""

import argparse
import difflib
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from clementinebank.cli._commands import (
    CommandOutput,
    ExitStatus,
    register_command,
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
    read_document_text,
)
from clementinebank.document import DocumentFile, parse_file, render_file
from clementinebank.errors import Failure, FieldProblem, Step

DOCUMENT_TARGET = '/v1/document'
CHANGES_TARGET = '/v1/document/changes'
HISTORY_REPLY_FIELDS = ('revision', 'history_start', 'changes')
FIRST_ANSWER_HELP = 'the first that answers is used'


def invalid_document_output(problems: list[FieldProblem]) -> CommandOutput:
    """Return a report that lists the problems of a document file."""
    return CommandOutput(
        '\n'.join(str(problem) for problem in problems),
        {'problems': [attrs.asdict(problem) for problem in problems]},
        ExitStatus.REFUSED,
    )


def read_document_file(
    path: Path,
) -> Result[DocumentFile | CommandOutput, Failure]:
    """Read a document file and split it into sections.

    Returns
    -------
    Result[DocumentFile | CommandOutput, Failure]
        The parsed file, or a report of its problems if it cannot be parsed;
        a failure if it cannot be read.
    """
    text = read_document_text(path)
    if isinstance(text, Err):
        return text
    parsed = parse_file(text.ok_value)
    if isinstance(parsed, Err):
        return Ok(invalid_document_output(parsed.err_value))
    return Ok(parsed.ok_value)


def _configure_check(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', type=Path, help='document file')


@register_command(
    'document check',
    'validate a document file without sending it',
    'clementinebank document check examples/kumagawa.yaml',
    _configure_check,
)
def check(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Validate a document file and report its problems."""
    return read_document_file(options.file).map(_check_output)


def _check_output(parsed: DocumentFile | CommandOutput) -> CommandOutput:
    if isinstance(parsed, CommandOutput):
        return parsed
    problems = parsed.find_problems()
    if problems:
        return invalid_document_output(problems)
    count = len(parsed.sections_by_name)
    return CommandOutput(f'{count} sections are valid', {'problems': []})


def _configure_show(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--output',
        type=Path,
        metavar='FILE',
        help='write a file that records its base revision, for apply',
    )
    parser.add_argument(
        '--overwrite', action='store_true', help='replace an existing file'
    )
    add_operators_option(parser, FIRST_ANSWER_HELP)


@register_command(
    'document show',
    'show the document in effect',
    'clementinebank document show --output document.yaml',
    _configure_show,
)
def show(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Show the document in effect, or write it to a file."""
    path = options.output
    if path is not None and path.exists() and not options.overwrite:
        message = f'{path} exists; add --overwrite or name another file'
        return Err(Failure('invalid_argument', message, Step.ACCEPT))
    document = get_from_first(
        operator_addresses(options), DOCUMENT_TARGET, DOCUMENT_REPLY_FIELDS
    )
    if isinstance(document, Err):
        return document
    body = document.ok_value
    text = render_file(body['sections'], body['revision'])
    if path is None:
        return Ok(CommandOutput(text.rstrip('\n'), body))
    try:
        path.write_bytes(text.encode())
    except OSError as error:
        message = f'cannot write {path}: {error}'
        return Err(Failure('invalid_argument', message, Step.ACCEPT))
    message = f'revision {body["revision"]} written to {path}'
    return Ok(CommandOutput(message, {**body, 'output': str(path)}))


def _configure_diff(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', type=Path, help='document file')
    parser.add_argument('--base', type=int, help='base revision of the file')
    add_operators_option(parser, FIRST_ANSWER_HELP)


@register_command(
    'document diff',
    'show what apply would change',
    'clementinebank document diff document.yaml',
    _configure_diff,
)
def diff(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Show what apply would send and which sections changed since the base."""
    parsed = read_document_file(options.file)
    if isinstance(parsed, Err):
        return parsed
    if isinstance(parsed.ok_value, CommandOutput):
        return Ok(parsed.ok_value)
    file = parsed.ok_value
    document = get_from_first(
        operator_addresses(options), DOCUMENT_TARGET, DOCUMENT_REPLY_FIELDS
    )
    return document.map(
        lambda body: _diff_output(find_edits(file, options.base, body), body)
    )


def _diff_output(edits: SectionEdits, body: dict[str, Any]) -> CommandOutput:
    lines = list(_diff_lines(edits, body))
    lines.extend(
        f'{name}: changed by {origin["editor"]} in revision '
        f'{origin["revision"]}, after base revision {edits.base_revision}'
        + (
            '; apply reports a conflict'
            if name in edits.texts_by_section
            else '; apply leaves it as it is'
        )
        for name, origin in sorted(body['origins'].items())
        if origin['revision'] > edits.base_revision
        and name in edits.stale_sections
    )
    return CommandOutput(
        '\n'.join(lines) or 'apply would change nothing',
        {
            'base_revision': edits.base_revision,
            'sections': edits.texts_by_section,
            'stale_sections': sorted(edits.stale_sections),
        },
    )


def _diff_lines(edits: SectionEdits, body: dict[str, Any]) -> Iterator[str]:
    for name, text in sorted(edits.texts_by_section.items()):
        text_in_effect = edits.texts_in_effect.get(name, '')
        lines = difflib.unified_diff(
            text_in_effect.splitlines(),
            (text or '').splitlines(),
            f'{name} (revision {body["revision"]})',
            f'{name} (deleted)' if text is None else f'{name} (file)',
            lineterm='',
        )
        yield from lines


def _configure_history(parser: argparse.ArgumentParser) -> None:
    add_operators_option(parser, FIRST_ANSWER_HELP)


@register_command(
    'document history',
    'list the recent accepted changes',
    'clementinebank document history --operators 127.0.0.1:9002',
    _configure_history,
)
def history(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """List the recent accepted changes, newest first."""
    reply = get_from_first(
        operator_addresses(options), CHANGES_TARGET, HISTORY_REPLY_FIELDS
    )
    return reply.map(
        lambda body: CommandOutput('\n'.join(_history_lines(body)), body)
    )


def _history_lines(body: dict[str, Any]) -> Iterator[str]:
    for change in reversed(body['changes']):
        time = datetime.fromtimestamp(change['accepted_at'], UTC)
        sections = ', '.join(change['sections']) or 'no section'
        yield (
            f'revision {change["revision"]}  '
            f'{time:%Y-%m-%d %H:%M:%S} UTC  {change["editor"]}  '
            f'{change["change_id"]}  {sections}'
        )
    if body['history_start']:
        yield f'older than revision {body["history_start"]}: not kept'
