"""Strict parsing and validation of the sections of the document."""

import re
from collections.abc import Mapping
from typing import cast

import attrs
from result import Err, Ok, Result

from clementinebank.document._model import (
    DEFAULT_MAX_INSTANCES,
    Document,
    FleetSettings,
    ServiceSettings,
)
from clementinebank.document._parse_service import (
    FleetConstraints,
    parse_service_section,
)
from clementinebank.document._section_cache import SectionCache
from clementinebank.errors import FieldProblem
from clementinebank.validation import FieldReader, parse_yaml

SERVICE_PREFIX = 'service.'
FLEET_SECTION = 'fleet'
# Name of a service section.
SERVICE_SECTION_NAME = re.compile(r'service\.[A-Za-z0-9][A-Za-z0-9_.-]*')
ISOLATION_CHOICES = ('refuse', 'serve')
# The key-value service supports several hundred writes a second, of which 50
# are reserved for the document.
MAX_BOOKING_WRITES_PER_SECOND = 450
# The target is a fleet of 3,700 instances; the rest allows for replacements.
MAX_INSTANCES = 4096
# Text that would end or damage the YAML file in which all sections are written:
# document markers, directives and byte order marks.
FORBIDDEN_YAML_MARKER = re.compile(
    r'^(?:---|\.\.\.)(?:\s|$)|^%|\ufeff', re.MULTILINE
)

ParseResult = Result[Document, list[FieldProblem]]


@attrs.frozen
class ParsedSection:
    """Result of parsing and validating one section.

    Parameters
    ----------
    settings : FleetSettings, ServiceSettings or None
        Typed content; ``None`` if the section has an unknown name or the
        document has no fleet section.
    problems : tuple of FieldProblem
        Problems of the section.
    booking_problems : tuple of FieldProblem
        Problems of the fleet section that count only if the document has a
        booking service.
    """

    settings: FleetSettings | ServiceSettings | None
    problems: tuple[FieldProblem, ...]
    booking_problems: tuple[FieldProblem, ...] = ()


# Default cache of the process.
DEFAULT_SECTION_CACHE = SectionCache()


def parse_document(
    texts_by_section: Mapping[str, str],
    revision: int,
    cache: SectionCache | None = None,
) -> ParseResult:
    """Parse and validate all sections.

    Parameters
    ----------
    texts_by_section : mapping of str to str
        YAML text of each section by its name.
    revision : int
        Revision of the head record.
    cache : SectionCache, optional
        Results of earlier calls, by default those of this process. A section
        is parsed again only if its text or the relevant fleet settings changed.

    Returns
    -------
    Result
        The document, or every problem found.
    """
    cache = DEFAULT_SECTION_CACHE if cache is None else cache
    cache.start_document()
    fleet = None
    constraints = None
    if FLEET_SECTION in texts_by_section:
        text = texts_by_section[FLEET_SECTION]
        section = cache.get(
            (FLEET_SECTION, text), lambda: _parse_fleet_section(text)
        )
        fleet = cast(FleetSettings, section.settings)
        constraints = _fleet_constraints(fleet)
    sections_by_name = {
        name: _parse_section(cache, name, text, constraints)
        for name, text in texts_by_section.items()
    }
    problems = [
        attrs.evolve(problem, section=name)
        for name, section in sections_by_name.items()
        for problem in _section_problems(section, sections_by_name)
    ]
    if fleet is None:
        missing = FieldProblem('$', 'missing section', None, FLEET_SECTION)
        return Err([missing, *problems])
    if problems:
        return Err(problems)
    services = {
        section.settings.name: section.settings
        for section in sections_by_name.values()
        if isinstance(section.settings, ServiceSettings)
    }
    return Ok(Document(revision, fleet, services))


def _section_problems(
    section: ParsedSection, sections_by_name: Mapping[str, ParsedSection]
) -> tuple[FieldProblem, ...]:
    if section.booking_problems and any(
        isinstance(other.settings, ServiceSettings)
        and other.settings.kind == 'booking'
        for other in sections_by_name.values()
    ):
        return (*section.problems, *section.booking_problems)
    return section.problems


def _fleet_constraints(fleet: FleetSettings) -> FleetConstraints:
    return FleetConstraints(
        frozenset(fleet.regions_by_data_centre),
        fleet.instances_sharing_leaf,
        fleet.caller_delay_ms,
    )


def _parse_section(
    cache: SectionCache,
    name: str,
    text: str,
    constraints: FleetConstraints | None,
) -> ParsedSection:
    if name == FLEET_SECTION:
        return cache.get((name, text), lambda: _parse_fleet_section(text))
    return cache.get(
        (name, text, constraints),
        lambda: _parse_service_section(name, text, constraints),
    )


def _parse_fleet_section(text: str) -> ParsedSection:
    reader = _create_reader(text)
    fleet = _read_fleet(reader)
    problems = _reader_problems(reader)
    reader.problems.clear()
    if fleet.booking_writes_per_second < fleet.max_instances:
        reader.report(
            'booking_writes_per_second',
            f'{fleet.booking_writes_per_second} gives an instance less than '
            f'one write a second (max_instances: {fleet.max_instances})',
        )
    return ParsedSection(fleet, problems, tuple(reader.problems))


def _parse_service_section(
    section_name: str, text: str, constraints: FleetConstraints | None
) -> ParsedSection:
    reader = _create_reader(text)
    settings = None
    # The fields can be validated only against a fleet section. Without one,
    # only the syntax is checked.
    if constraints is not None:
        if SERVICE_SECTION_NAME.fullmatch(section_name):
            service_name = section_name.removeprefix(SERVICE_PREFIX)
            settings = parse_service_section(service_name, reader, constraints)
        else:
            reader.report(
                '', 'unknown section; sections are fleet and service.<name>'
            )
    return ParsedSection(settings, _reader_problems(reader))


def _create_reader(text: str) -> FieldReader:
    marker = FORBIDDEN_YAML_MARKER.search(text)
    if marker is not None:
        line = len(text[: marker.start()].splitlines()) + 1
        message = 'document markers are not allowed in a section'
        return _create_failed_reader(FieldProblem('$', message, line))
    parsed = parse_yaml(text)
    if isinstance(parsed, Err):
        return _create_failed_reader(parsed.err_value)
    return FieldReader(
        parsed.ok_value.data, lines_by_path=parsed.ok_value.lines_by_path
    )


def _create_failed_reader(problem: FieldProblem) -> FieldReader:
    return FieldReader({}, problems=[problem])


def _reader_problems(reader: FieldReader) -> tuple[FieldProblem, ...]:
    # A text without a YAML mapping also lacks every field. Only the first
    # problem, the cause, is reported.
    return tuple(reader.problems if reader.data else reader.problems[:1])


def _read_fleet(reader: FieldReader) -> FleetSettings:
    regions_by_data_centre = {}
    for name, data_centre in reader.children('data_centres'):
        regions_by_data_centre[name] = data_centre.text('region')
        data_centre.report_unknown_fields()
    if not regions_by_data_centre:
        reader.report('data_centres', 'must name at least one data centre')
    fleet = FleetSettings(
        owner=reader.text('owner'),
        regions_by_data_centre=regions_by_data_centre,
        max_instances=reader.integer(
            'max_instances',
            DEFAULT_MAX_INSTANCES,
            minimum=1,
            maximum=MAX_INSTANCES,
        ),
        isolation=reader.text('isolation', 'refuse', ISOLATION_CHOICES),
        data_centre_delay_ms=reader.number('data_centre_delay_ms', 4),
        region_delay_ms=reader.number('region_delay_ms', 8),
        caller_delay_ms=reader.number('caller_delay_ms', 3),
        booking_writes_per_second=reader.integer(
            'booking_writes_per_second',
            200,
            minimum=1,
            maximum=MAX_BOOKING_WRITES_PER_SECOND,
        ),
        instances_per_leaf=_read_instances_per_leaf(reader),
    )
    if fleet.instances_sharing_leaf > fleet.max_instances:
        reader.report(
            'instances_per_leaf',
            f'{fleet.instances_sharing_leaf} is more than the instances of '
            f'the fleet (max_instances: {fleet.max_instances})',
        )
    reader.report_unknown_fields()
    return fleet


def _read_instances_per_leaf(reader: FieldReader) -> int | None:
    # Only an absent field means that all instances use a leaf. A field without
    # a value is reported as a problem.
    if not reader.has('instances_per_leaf'):
        return None
    return reader.integer(
        'instances_per_leaf', minimum=1, maximum=MAX_INSTANCES
    )
