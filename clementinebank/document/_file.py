"""Conversion between the document and the one YAML file that operators edit.

Each top-level key of the file is a section. The text of a section is kept as
it is written, with its comments.
"""

import re
from collections.abc import Iterator, Mapping

import attrs
import yaml
from result import Err, Ok, Result

from clementinebank.document._change import text_digest
from clementinebank.document._parse import FLEET_SECTION, parse_document
from clementinebank.errors import FieldProblem
from clementinebank.validation import YAML_LOADER, parse_yaml

# The first line of a file records its base: the revision and, for each section,
# ` <name>=<digest>`.
BASE_PREFIX = '# clementinebank base revision '
BASE_LINE = re.compile(r'# clementinebank base revision (\d{1,18})((?: \S+)*)')
# Name of a section, plain or quoted, and its colon.
SECTION_KEY = re.compile(
    r'([^\s#\'"][^#\'"]*?|\'[^\']+\'|"[^"\\]+")\s*:(?=\s|$)'
)
SECTION_INDENT = '  '

# Pairs of a zero-based line number of the file and the line.
NumberedLines = list[tuple[int, str]]


@attrs.frozen
class FileBase:
    """Document state from which the editing of a file started.

    The first line of the file records it.

    Parameters
    ----------
    revision : int
        Revision of the document that was written to the file.
    digests_by_section : dict of str to str
        Digest of the text of each section before it was edited.
    """

    revision: int
    digests_by_section: dict[str, str]


@attrs.frozen
class FileSection:
    """One section of a document file.

    Parameters
    ----------
    text : str
        YAML text without the section name. It starts with the comments
        directly above the name.
    line_numbers : tuple of int
        One-based line of the file for each line of the text.
    key_line : int
        One-based line of the section's name.
    """

    text: str
    line_numbers: tuple[int, ...]
    key_line: int


@attrs.frozen
class DocumentFile:
    """A parsed document file.

    Parameters
    ----------
    sections_by_name : dict of str to FileSection
        All sections.
    base : FileBase or None
        Base recorded in the first line; ``None`` if there is none.
    """

    sections_by_name: dict[str, FileSection]
    base: FileBase | None

    @property
    def texts_by_section(self) -> dict[str, str]:
        """Return the YAML text of every section."""
        return {
            name: section.text
            for name, section in self.sections_by_name.items()
        }

    def find_problems(self) -> list[FieldProblem]:
        """Validate the document; return its problems by line of the file."""
        parsed = parse_document(self.texts_by_section, 0)
        if isinstance(parsed, Ok):
            return []
        problems = [
            self.with_file_line(problem) for problem in parsed.err_value
        ]
        return sorted(problems, key=lambda problem: problem.line or 0)

    def with_file_line(self, problem: FieldProblem) -> FieldProblem:
        """Return a problem with its line in the file instead of its section.

        A problem without a line gets the line of the section's name; one of
        an unknown section is returned unchanged.
        """
        section = self.sections_by_name.get(problem.section or '')
        if section is None:
            return problem
        line = section.key_line
        if problem.line is not None and problem.line <= len(
            section.line_numbers
        ):
            line = section.line_numbers[problem.line - 1]
        return attrs.evolve(problem, line=line)


def parse_file(text: str) -> Result[DocumentFile, list[FieldProblem]]:
    """Split a document file into its sections.

    The text of a section consists of the comment lines directly above its name
    and the lines below it, without blank lines at the end.
    """
    lines = text.splitlines(keepends=True)
    parsed = parse_yaml(text)
    if isinstance(parsed, Err):
        problem = parsed.err_value
        section = _section_name_at(lines, problem.line)
        return Err([attrs.evolve(problem, section=section)])
    node = yaml.compose(text, Loader=YAML_LOADER)
    if not isinstance(node, yaml.MappingNode):
        return Err([FieldProblem('$', 'must be a mapping of sections', 1)])
    problems = [
        FieldProblem(
            str(key.value),
            'a section starts with its name and a colon, at the start of a '
            'line',
            key.start_mark.line + 1,
        )
        for key, _ in node.value
        if not _is_section_line(lines, key)
    ]
    if problems:
        return Err(problems)
    keys = [(key.value, key.start_mark.line) for key, _ in node.value]
    return Ok(
        DocumentFile(dict(_split_sections(lines, keys)), _parse_base(lines))
    )


def render_file(texts_by_section: Mapping[str, str], revision: int) -> str:
    """Return the text of a file with all sections and a base line.

    The ``fleet`` section comes first, the others are sorted by name.
    """
    names = sorted(
        texts_by_section, key=lambda name: (name != FLEET_SECTION, name)
    )
    body = '\n'.join(
        _render_section(name, texts_by_section[name]) for name in names
    )
    return set_base_line(f'\n{body}', revision)


def set_base_line(text: str, revision: int) -> str:
    """Return the text of a file with its base in the first line.

    A base line that the text already has is replaced.

    Parameters
    ----------
    text : str
        Text of the file, with or without a base line.
    revision : int
        Revision of the document whose sections the file holds.
    """
    lines = text.splitlines(keepends=True)
    if _parse_base(lines) is not None:
        lines = lines[1:]
    body = ''.join(lines)
    base_line = f'{BASE_PREFIX}{revision}'
    parsed = parse_file(body)
    if isinstance(parsed, Ok):
        # The digests are taken of the texts as parsed from the file, since a
        # section may be indented differently there than in the document.
        digests = [
            f'{name}={text_digest(section_text)}'
            for name, section_text in parsed.ok_value.texts_by_section.items()
        ]
        base_line = ' '.join([base_line, *digests])
    return f'{base_line}\n{body}'


def _parse_base(lines: list[str]) -> FileBase | None:
    match = BASE_LINE.fullmatch(lines[0].rstrip()) if lines else None
    if match is None:
        return None
    pairs = [pair.rpartition('=') for pair in match[2].split()]
    return FileBase(int(match[1]), {name: digest for name, _, digest in pairs})


def _is_section_line(lines: list[str], key: yaml.Node) -> bool:
    line = lines[key.start_mark.line]
    return key.start_mark.column == 0 and bool(SECTION_KEY.match(line))


def _section_name_at(lines: list[str], line: int | None) -> str | None:
    for text in reversed(lines[: line or 0]):
        match = SECTION_KEY.match(text)
        if match is not None:
            return match[1].strip('\'"')
    return None


def _split_sections(
    lines: list[str], keys: list[tuple[str, int]]
) -> Iterator[tuple[str, FileSection]]:
    start = 1 if _parse_base(lines) else 0
    for index, (name, key_line) in enumerate(keys):
        is_last = index + 1 == len(keys)
        end = (
            len(lines)
            if is_last
            else _leading_lines_start(lines, keys[index + 1])
        )
        numbered_lines = [
            *_lines_above_key(lines, start, key_line),
            *_text_on_key_line(lines[key_line], key_line),
            *_lines_below_key(lines, key_line + 1, end, is_last=is_last),
        ]
        yield name, _build_section(numbered_lines, key_line)
        start = end


def _build_section(numbered_lines: NumberedLines, key_line: int) -> FileSection:
    while numbered_lines and not numbered_lines[-1][1].strip():
        numbered_lines.pop()
    text = ''.join(line for _, line in numbered_lines)
    # Some text editors write no line break at the end of a file.
    if text and not text.endswith(('\n', '\r')):
        text = f'{text}\n'
    return FileSection(
        text, tuple(number + 1 for number, _ in numbered_lines), key_line + 1
    )


def _leading_lines_start(lines: list[str], key: tuple[str, int]) -> int:
    start = key[1]
    while _is_blank_or_comment(lines[start - 1]):
        start -= 1
    return start


def _is_blank_or_comment(line: str) -> bool:
    return not line.strip() or line.startswith('#')


def _lines_above_key(
    lines: list[str], start: int, key_line: int
) -> NumberedLines:
    while start < key_line and not lines[start].strip():
        start += 1
    return [(line, lines[line]) for line in range(start, key_line)]


def _text_on_key_line(line: str, number: int) -> NumberedLines:
    match = SECTION_KEY.match(line)
    rest = line[match.end() :].lstrip(' \t') if match else ''
    return [(number, rest)] if rest.strip() else []


def _lines_below_key(
    lines: list[str], start: int, end: int, *, is_last: bool
) -> NumberedLines:
    body = lines[start:end]
    if is_last:
        body = _indent_trailing_comments(body)
    return list(enumerate(body, start))


def _indent_trailing_comments(body: list[str]) -> list[str]:
    # Comments at the end of a section are indented. Otherwise they would
    # belong to the section that follows when a file is rendered.
    index = len(body)
    while index and _is_blank_or_comment(body[index - 1]):
        index -= 1
    return [
        *body[:index],
        *(
            f'{SECTION_INDENT}{line}' if line.strip() else line
            for line in body[index:]
        ),
    ]


def _render_section(name: str, text: str) -> str:
    lines = text.splitlines(keepends=True)
    above_count = 0
    while above_count < len(lines) and _is_blank_or_comment(lines[above_count]):
        above_count += 1
    below = lines[above_count:]
    if any(
        not (line[0].isspace() or _is_blank_or_comment(line)) for line in below
    ):
        below = [
            f'{SECTION_INDENT}{line}' if line.strip() else line
            for line in below
        ]
    below = _indent_trailing_comments(below)
    end = '' if not lines or lines[-1].endswith('\n') else '\n'
    return f'{"".join(lines[:above_count])}{name}:\n{"".join(below)}{end}'
