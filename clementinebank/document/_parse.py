"""Strict reading of the document's sections."""

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
    ServiceLimits,
    read_service,
)
from clementinebank.document._section_cache import SectionCache
from clementinebank.errors import FieldProblem
from clementinebank.validation import FieldReader, parse_yaml

SERVICE_PREFIX = 'service.'
FLEET_SECTION = 'fleet'
SERVICE_SECTION = re.compile(r'service\.[A-Za-z0-9][A-Za-z0-9_.-]*')
ISOLATION_CHOICES = ('refuse', 'serve')
# The key-value service supports several hundred writes a second; 50 of them
# are reserved for the document.
MAX_BOOKING_WRITES_PER_SECOND = 450
# The target is 3,700 instances; the rest is room for replacements.
MAX_INSTANCES = 4096
# These would end or damage a file that holds all sections.
FILE_MARKER = re.compile(r'^(?:---|\.\.\.)(?:\s|$)|^%|\ufeff', re.MULTILINE)

Parsed = Result[Document, list[FieldProblem]]


@attrs.frozen
class ReadSection:
    """One section that was read.

    Parameters
    ----------
    settings : FleetSettings, ServiceSettings or None
        Typed content; ``None`` for a section of another name.
    problems : tuple of FieldProblem
        What is invalid.
    booking_problems : tuple of FieldProblem
        What is invalid in the fleet section if a service takes bookings.
    """

    settings: FleetSettings | ServiceSettings | None
    problems: tuple[FieldProblem, ...]
    booking_problems: tuple[FieldProblem, ...] = ()


RECENT_SECTIONS = SectionCache()


def parse_document(
    texts_by_section: Mapping[str, str],
    revision: int,
    cache: SectionCache | None = None,
) -> Parsed:
    """Parse and validate all sections.

    Parameters
    ----------
    texts_by_section : mapping of str to str
        YAML text of each section by its name.
    revision : int
        Revision of the head record.
    cache : SectionCache, optional
        Results to reuse; by default those of this process. Sections with the
        same text are not parsed again.

    Returns
    -------
    Result
        The document, or every problem found.
    """
    cache = RECENT_SECTIONS if cache is None else cache
    cache.start_document()
    fleet = None
    limits = None
    if FLEET_SECTION in texts_by_section:
        text = texts_by_section[FLEET_SECTION]
        read = cache.get((FLEET_SECTION, text), lambda: _read_fleet_text(text))
        fleet = cast(FleetSettings, read.settings)
        limits = _limits_of(fleet)
    sections = {
        name: _read_section(cache, name, text, limits)
        for name, text in texts_by_section.items()
    }
    problems = [
        attrs.evolve(problem, section=name)
        for name, read in sections.items()
        for problem in _problems_in(read, sections)
    ]
    if fleet is None:
        missing = FieldProblem('$', 'missing section', None, FLEET_SECTION)
        return Err([missing, *problems])
    if problems:
        return Err(problems)
    services = {
        read.settings.name: read.settings
        for read in sections.values()
        if isinstance(read.settings, ServiceSettings)
    }
    return Ok(Document(revision, fleet, services))


def _problems_in(
    read: ReadSection, sections: Mapping[str, ReadSection]
) -> tuple[FieldProblem, ...]:
    if read.booking_problems and any(
        isinstance(each.settings, ServiceSettings)
        and each.settings.kind == 'booking'
        for each in sections.values()
    ):
        return (*read.problems, *read.booking_problems)
    return read.problems


def _limits_of(fleet: FleetSettings) -> ServiceLimits:
    return ServiceLimits(
        frozenset(fleet.regions_by_data_centre),
        fleet.users_per_leaf,
        fleet.caller_delay_ms,
    )


def _read_section(
    cache: SectionCache, name: str, text: str, limits: ServiceLimits | None
) -> ReadSection:
    if name == FLEET_SECTION:
        return cache.get((name, text), lambda: _read_fleet_text(text))
    return cache.get(
        (name, text, limits), lambda: _read_service_text(name, text, limits)
    )


def _read_fleet_text(text: str) -> ReadSection:
    reader = _section_reader(text)
    fleet = _read_fleet(reader)
    problems = _problems_of(reader)
    reader.problems.clear()
    if fleet.booking_writes_per_second < fleet.max_instances:
        reader.report(
            'booking_writes_per_second',
            f'{fleet.booking_writes_per_second} gives an instance less than '
            f'one write a second (max_instances: {fleet.max_instances})',
        )
    return ReadSection(fleet, problems, tuple(reader.problems))


def _read_service_text(
    section: str, text: str, limits: ServiceLimits | None
) -> ReadSection:
    reader = _section_reader(text)
    settings = None
    # Without the fleet section only the syntax is checked.
    if limits is not None:
        if SERVICE_SECTION.fullmatch(section):
            name = section.removeprefix(SERVICE_PREFIX)
            settings = read_service(name, reader, limits)
        else:
            reader.report(
                '', 'unknown section; sections are fleet and service.<name>'
            )
    return ReadSection(settings, _problems_of(reader))


def _section_reader(text: str) -> FieldReader:
    marker = FILE_MARKER.search(text)
    if marker is not None:
        line = len(text[: marker.start()].splitlines()) + 1
        message = 'document markers are not allowed in a section'
        return _unreadable(FieldProblem('$', message, line))
    parsed = parse_yaml(text)
    if isinstance(parsed, Err):
        return _unreadable(parsed.err_value)
    return FieldReader(
        parsed.ok_value.data, lines_by_path=parsed.ok_value.lines_by_path
    )


def _unreadable(problem: FieldProblem) -> FieldReader:
    return FieldReader({}, problems=[problem])


def _problems_of(reader: FieldReader) -> tuple[FieldProblem, ...]:
    # Of a section that is no YAML mapping, the missing fields are no news.
    return tuple(reader.problems if reader.data else reader.problems[:1])


def _read_fleet(reader: FieldReader) -> FleetSettings:
    regions = {}
    for name, data_centre in reader.children('data_centres'):
        regions[name] = data_centre.text('region')
        data_centre.finish()
    if not regions:
        reader.report('data_centres', 'must name at least one data centre')
    fleet = FleetSettings(
        owner=reader.text('owner'),
        regions_by_data_centre=regions,
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
    if fleet.users_per_leaf > fleet.max_instances:
        reader.report(
            'instances_per_leaf',
            f'{fleet.users_per_leaf} is more than the instances of the fleet '
            f'(max_instances: {fleet.max_instances})',
        )
    reader.finish()
    return fleet


def _read_instances_per_leaf(reader: FieldReader) -> int | None:
    # A field without a value is reported and not taken for an absent one.
    if not reader.has('instances_per_leaf'):
        return None
    return reader.integer(
        'instances_per_leaf', minimum=1, maximum=MAX_INSTANCES
    )
