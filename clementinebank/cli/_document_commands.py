"""The ``document`` commands."""

import argparse
from pathlib import Path

import yaml
from result import Err, Ok, Result

from clementinebank.cli._client import Reply, call
from clementinebank.cli._commands import ExitStatus, Report, command
from clementinebank.document import parse_document
from clementinebank.errors import Failure


def split_sections(text: str) -> dict[str, str]:
    """Split a document file into the texts of its top-level sections.

    Raises
    ------
    ValueError
        If the text is no YAML mapping.
    """
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if not isinstance(node, yaml.MappingNode):
        raise ValueError('the document must be a mapping of sections')
    lines = text.splitlines(keepends=True)
    starts = [key.start_mark.line for key, _ in node.value]
    ends = [*starts[1:], len(lines)]
    return {
        key.value: ''.join(lines[start + 1 : end])
        for (key, _), start, end in zip(node.value, starts, ends, strict=True)
    }


def _configure_check(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', type=Path, help='document file')


@command(
    'document check',
    'validate a document file without sending it',
    'clementinebank document check examples/kumagawa.yaml',
    _configure_check,
)
def check(options: argparse.Namespace) -> Result[Report, Failure]:
    """Validate a document file."""
    sections = split_sections(options.file.read_text())
    parsed = parse_document(sections, 0)
    if isinstance(parsed, Err):
        problems = [str(problem) for problem in parsed.err_value]
        return Ok(
            Report(
                '\n'.join(problems),
                {'problems': problems},
                ExitStatus.REFUSED,
            )
        )
    return Ok(Report(f'{len(sections)} sections are valid', {'problems': []}))


def _configure_apply(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', type=Path, help='document file')
    parser.add_argument(
        '--operators',
        default='127.0.0.1:9002',
        help='operators listener of an instance',
    )


@command(
    'document apply',
    'send the sections of a file as one change',
    'clementinebank document apply examples/kumagawa.yaml',
    _configure_apply,
)
def apply(options: argparse.Namespace) -> Result[Report, Failure]:
    """Send all sections of a file."""
    sections = split_sections(options.file.read_text())
    reply = call(
        options.operators,
        'POST',
        '/v1/document/changes',
        {'sections': sections},
    )
    return reply.map(_report_apply)


def _report_apply(reply: Reply) -> Report:
    if reply.status != 200:
        return Report(str(reply.data), reply.data, ExitStatus.REFUSED)
    revision = reply.data['revision']
    return Report(f'accepted as revision {revision}', reply.data)
