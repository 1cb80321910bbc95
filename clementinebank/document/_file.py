"""The document as one file that an operator edits."""

import re
from collections.abc import Iterator, Mapping

import attrs
import yaml
from result import Err, Ok, Result

from clementinebank.document._change import text_digest
from clementinebank.document._parse import FLEET_SECTION, parse_document
from clementinebank.errors import FieldProblem
from clementinebank.validation import LOADER, parse_yaml

BASE_PREFIX = '# clementinebank base revision '
BASE_LINE = re.compile(r'# clementinebank base revision (\d{1,18})((?: \S+)*)')
SECTION_KEY = re.compile(
    r'([^\s#\'"][^#\'"]*?|\'[^\']+\'|"[^"\\]+")\s*:(?=\s|$)'
)
INDENT = '  '

NumberedLines = list[tuple[int, str]]


@attrs.frozen
class FileBase:
    """Base of an edited file, recorded in its first line.

    Parameters
    ----------
    revision : int
        Revision of the document that was shown.
    digests_by_section : dict of str to str
        Digest of the text of each section that was shown.
    """

    revision: int
    digests_by_section: dict[str, str]


@attrs.frozen
class FileSection:
    """One section of a file.

    Parameters
    ----------
    text : str
        YAML text with its comments, also those directly above the name.
    lines : tuple of int
        One-based line of the file for each line of the text.
    key_line : int
        Line of the section's name.
    """

    text: str
    lines: tuple[int, ...]
    key_line: int


@attrs.frozen
class DocumentFile:
    """A parsed document file.

    Parameters
    ----------
    sections_by_name : dict of str to FileSection
        All sections.
    base : FileBase or None
        Base that the file records.
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

    def check(self) -> list[FieldProblem]:
        """Return every problem of the document with lines of the file."""
        parsed = parse_document(self.texts_by_section, 0)
        if isinstance(parsed, Ok):
            return []
        problems = [self.locate(problem) for problem in parsed.err_value]
        return sorted(problems, key=lambda problem: problem.line or 0)

    def locate(self, problem: FieldProblem) -> FieldProblem:
        """Return a problem of a section with its line of the file."""
        section = self.sections_by_name.get(problem.section or '')
        if section is None:
            return problem
        line = section.key_line
        if problem.line is not None and problem.line <= len(section.lines):
            line = section.lines[problem.line - 1]
        return attrs.evolve(problem, line=line)


def parse_file(text: str) -> Result[DocumentFile, list[FieldProblem]]:
    """Split a document file into its sections.

    The text of a section is what stands in the file below its name and the
    comment lines directly above it, without blank lines at the end.
    """
    lines = text.splitlines(keepends=True)
    parsed = parse_yaml(text)
    if isinstance(parsed, Err):
        problem = parsed.err_value
        section = _section_at(lines, problem.line)
        return Err([attrs.evolve(problem, section=section)])
    node = yaml.compose(text, Loader=LOADER)
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
    return Ok(DocumentFile(dict(_sections(lines, keys)), _base_of(lines)))


def render_file(texts_by_section: Mapping[str, str], revision: int) -> str:
    """Return a file of all sections that records its base."""
    names = sorted(
        texts_by_section, key=lambda name: (name != FLEET_SECTION, name)
    )
    body = '\n'.join(_rendered(name, texts_by_section[name]) for name in names)
    return record_base(f'\n{body}', revision)


def record_base(text: str, revision: int) -> str:
    """Return a file with the base revision in its first line.

    Parameters
    ----------
    text : str
        Text of the file, with or without a recorded base.
    revision : int
        Revision whose sections the file holds.
    """
    lines = text.splitlines(keepends=True)
    if _base_of(lines) is not None:
        lines = lines[1:]
    body = ''.join(lines)
    base = f'{BASE_PREFIX}{revision}'
    parsed = parse_file(body)
    if isinstance(parsed, Ok):
        # The digests are those of the texts as they stand in the file, where
        # a section may be indented.
        digests = [
            f'{name}={text_digest(section_text)}'
            for name, section_text in parsed.ok_value.texts_by_section.items()
        ]
        base = ' '.join([base, *digests])
    return f'{base}\n{body}'


def _base_of(lines: list[str]) -> FileBase | None:
    found = BASE_LINE.fullmatch(lines[0].rstrip()) if lines else None
    if found is None:
        return None
    pairs = [pair.rpartition('=') for pair in found[2].split()]
    return FileBase(int(found[1]), {name: digest for name, _, digest in pairs})


def _is_section_line(lines: list[str], key: yaml.Node) -> bool:
    line = lines[key.start_mark.line]
    return key.start_mark.column == 0 and bool(SECTION_KEY.match(line))


def _section_at(lines: list[str], line: int | None) -> str | None:
    for text in reversed(lines[: line or 0]):
        found = SECTION_KEY.match(text)
        if found is not None:
            return found[1].strip('\'"')
    return None


def _sections(
    lines: list[str], keys: list[tuple[str, int]]
) -> Iterator[tuple[str, FileSection]]:
    start = 1 if _base_of(lines) else 0
    for index, (name, key_line) in enumerate(keys):
        is_last = index + 1 == len(keys)
        end = len(lines) if is_last else _comments_start(lines, keys[index + 1])
        numbered = [
            *_above_key(lines, start, key_line),
            *_on_key_line(lines[key_line], key_line),
            *_below_key(lines, key_line + 1, end, is_last=is_last),
        ]
        yield name, _section_of(numbered, key_line)
        start = end


def _section_of(numbered: NumberedLines, key_line: int) -> FileSection:
    while numbered and not numbered[-1][1].strip():
        numbered.pop()
    text = ''.join(line for _, line in numbered)
    # Editors differ in whether they end a file with a line break.
    if text and not text.endswith(('\n', '\r')):
        text = f'{text}\n'
    return FileSection(
        text, tuple(number + 1 for number, _ in numbered), key_line + 1
    )


def _comments_start(lines: list[str], key: tuple[str, int]) -> int:
    start = key[1]
    while _is_outer(lines[start - 1]):
        start -= 1
    return start


def _is_outer(line: str) -> bool:
    return not line.strip() or line.startswith('#')


def _above_key(lines: list[str], start: int, key_line: int) -> NumberedLines:
    while start < key_line and not lines[start].strip():
        start += 1
    return [(line, lines[line]) for line in range(start, key_line)]


def _on_key_line(line: str, number: int) -> NumberedLines:
    found = SECTION_KEY.match(line)
    rest = line[found.end() :].lstrip(' \t') if found else ''
    return [(number, rest)] if rest.strip() else []


def _below_key(
    lines: list[str], start: int, end: int, *, is_last: bool
) -> NumberedLines:
    body = lines[start:end]
    if is_last:
        body = _with_inner_comments(body)
    return list(enumerate(body, start))


def _with_inner_comments(body: list[str]) -> list[str]:
    # Comments at the end of a section stay with it, indented, when another
    # section follows.
    index = len(body)
    while index and _is_outer(body[index - 1]):
        index -= 1
    return [
        *body[:index],
        *(f'{INDENT}{line}' if line.strip() else line for line in body[index:]),
    ]


def _rendered(name: str, text: str) -> str:
    lines = text.splitlines(keepends=True)
    above = 0
    while above < len(lines) and _is_outer(lines[above]):
        above += 1
    below = lines[above:]
    if any(not (line[0].isspace() or _is_outer(line)) for line in below):
        below = [f'{INDENT}{line}' if line.strip() else line for line in below]
    below = _with_inner_comments(below)
    end = '' if not lines or lines[-1].endswith('\n') else '\n'
    return f'{"".join(lines[:above])}{name}:\n{"".join(below)}{end}'
