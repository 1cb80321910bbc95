"""Strict reading of the document's sections."""

import re
from collections import Counter
from collections.abc import Mapping

import attrs
from result import Err, Ok, Result

from clementinebank.document._model import (
    DEFAULT_DEADLINE_MS,
    DEFAULT_EXTRA_LOAD,
    DEFAULT_MAX_INSTANCES,
    DEFAULT_RETENTION_HOURS,
    SINGLE_GROUP,
    Document,
    FleetSettings,
    GroupSettings,
    LeafSettings,
    Objectives,
    ServiceSettings,
)
from clementinebank.errors import FieldProblem
from clementinebank.validation import FieldReader, parse_yaml

SERVICE_PREFIX = 'service.'
FLEET_SECTION = 'fleet'
SERVICE_SECTION = re.compile(r'service\.[A-Za-z0-9][A-Za-z0-9_.-]*')
KINDS = ('search', 'booking')
ISOLATION_CHOICES = ('refuse', 'serve')
ANSWER_POLICY_NAMES = ('latency_first', 'coverage_first')
MAX_DEADLINE_MS = 60_000
# The key-value service supports several hundred writes a second; 50 of them
# are reserved for the document.
MAX_BOOKING_WRITES_PER_SECOND = 450
# These would end or damage a file that holds all sections.
FILE_MARKER = re.compile(r'^(?:---|\.\.\.)(?:\s|$)|^%|\ufeff', re.MULTILINE)

Parsed = Result[Document, list[FieldProblem]]


def parse_document(
    texts_by_section: Mapping[str, str], revision: int
) -> Parsed:
    """Parse and validate all sections.

    Parameters
    ----------
    texts_by_section : mapping of str to str
        YAML text of each section by its name.
    revision : int
        Revision of the head record.

    Returns
    -------
    Result
        The document, or every problem found.
    """
    readers = {
        name: _section_reader(name, text)
        for name, text in texts_by_section.items()
    }
    if FLEET_SECTION not in readers:
        problem = FieldProblem('$', 'missing section', None, FLEET_SECTION)
        return Err([problem, *_problems_of(readers)])
    document = _read_document(readers, revision)
    problems = _problems_of(readers)
    return Err(problems) if problems else Ok(document)


def _section_reader(name: str, text: str) -> FieldReader:
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


def _problems_of(readers: Mapping[str, FieldReader]) -> list[FieldProblem]:
    return [
        attrs.evolve(problem, section=name)
        for name, reader in readers.items()
        for problem in _root_problems(reader)
    ]


def _root_problems(reader: FieldReader) -> list[FieldProblem]:
    # Of a section that is no YAML mapping, the missing fields are no news.
    if reader.data:
        return reader.problems
    return reader.problems[:1]


def _read_document(readers: dict[str, FieldReader], revision: int) -> Document:
    fleet = _read_fleet(readers[FLEET_SECTION])
    services: dict[str, ServiceSettings] = {}
    for section, reader in readers.items():
        name = section.removeprefix(SERVICE_PREFIX)
        if SERVICE_SECTION.fullmatch(section):
            services[name] = _read_service(name, reader, fleet)
        elif section != FLEET_SECTION:
            reader.report(
                '', 'unknown section; sections are fleet and service.<name>'
            )
    return Document(revision, fleet, services)


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
            'max_instances', DEFAULT_MAX_INSTANCES, minimum=1, maximum=64
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
    )
    if fleet.booking_writes_per_second < fleet.max_instances:
        reader.report(
            'booking_writes_per_second',
            f'{fleet.booking_writes_per_second} gives an instance less than '
            f'one write a second (max_instances: {fleet.max_instances})',
        )
    reader.finish()
    return fleet


def _read_service(
    name: str, reader: FieldReader, fleet: FleetSettings
) -> ServiceSettings:
    kind = reader.text('kind', choices=KINDS)
    groups = (
        _read_groups(reader, fleet)
        if kind == 'search'
        else _read_single_group(reader, fleet)
    )
    service = ServiceSettings(
        name=name,
        owner=reader.text('owner'),
        kind=kind,
        groups_by_id=groups,
        slots=reader.integer('slots', minimum=1),
        connections=reader.integer('connections', minimum=1),
        connect_ms=reader.integer('connect_ms', 6),
        deadline_ms=reader.integer(
            'deadline_ms',
            DEFAULT_DEADLINE_MS,
            minimum=1,
            maximum=MAX_DEADLINE_MS,
        ),
        answer_policy=reader.text(
            'answer_policy', 'latency_first', ANSWER_POLICY_NAMES
        ),
        extra_load=reader.number('extra_load', DEFAULT_EXTRA_LOAD, maximum=1),
        retention_hours=reader.integer(
            'retention_hours', DEFAULT_RETENTION_HOURS, minimum=1
        ),
        objectives=_read_objectives(reader),
    )
    _report_sizes(reader, service, fleet)
    _report_shared_addresses(reader, groups)
    reader.finish()
    return service


def _report_sizes(
    reader: FieldReader, service: ServiceSettings, fleet: FleetSettings
) -> None:
    if service.connections < fleet.max_instances:
        reader.report(
            'connections',
            f'{service.connections} cannot be divided among '
            f'{fleet.max_instances} instances (fleet.max_instances); the '
            'shares would exceed the limit of the leaf',
        )
    if service.slots > service.connections:
        reader.report(
            'slots',
            f'{service.slots} slots cannot be used over '
            f'{service.connections} connections, which carry one request each',
        )
    round_trip_ms = 2 * fleet.caller_delay_ms
    if service.deadline_ms <= round_trip_ms:
        reader.report(
            'deadline_ms',
            f'{service.deadline_ms} ms is not longer than the round trip to '
            f'the caller of {round_trip_ms} ms (fleet.caller_delay_ms)',
        )


def _read_objectives(reader: FieldReader) -> Objectives:
    child = reader.child('objectives', required=False)
    objectives = Objectives(
        latency_ms=child.integer('latency_ms', DEFAULT_DEADLINE_MS, minimum=1),
        latency_ratio=child.number('latency_ratio', 0.99, maximum=1),
        coverage_ratio=child.number('coverage_ratio', 0.999, maximum=1),
    )
    child.finish()
    return objectives


def _read_groups(
    reader: FieldReader, fleet: FleetSettings
) -> dict[str, GroupSettings]:
    groups: dict[str, GroupSettings] = {}
    for group_id, group in reader.children('groups'):
        groups[group_id] = GroupSettings(
            group_id, group.text('yard'), _read_leafs(group, fleet)
        )
        group.finish()
    if not groups:
        reader.report('groups', 'must name at least one group')
    _report_shared_leafs(reader, groups)
    return groups


def _report_shared_leafs(
    reader: FieldReader, groups: dict[str, GroupSettings]
) -> None:
    counts = Counter(
        leaf_id for group in groups.values() for leaf_id in group.leafs_by_id
    )
    for leaf_id, count in counts.items():
        if count > 1:
            reader.report('groups', f'leaf {leaf_id} is in {count} groups')


def _report_shared_addresses(
    reader: FieldReader, groups: dict[str, GroupSettings]
) -> None:
    leaf_ids_by_address: dict[str, str] = {}
    for group in groups.values():
        for leaf in group.leafs_by_id.values():
            address = str(leaf.address)
            other = leaf_ids_by_address.setdefault(address, leaf.leaf_id)
            if other != leaf.leaf_id and leaf.address.port:
                path = f'leafs.{leaf.leaf_id}.address'
                if group.group_id != SINGLE_GROUP:
                    path = f'groups.{group.group_id}.{path}'
                reader.report(path, f'{address} is also leaf {other}')


def _read_single_group(
    reader: FieldReader, fleet: FleetSettings
) -> dict[str, GroupSettings]:
    leafs = _read_leafs(reader, fleet)
    return {SINGLE_GROUP: GroupSettings(SINGLE_GROUP, '', leafs)}


def _read_leafs(
    reader: FieldReader, fleet: FleetSettings
) -> dict[str, LeafSettings]:
    leafs: dict[str, LeafSettings] = {}
    for leaf_id, leaf in reader.children('leafs'):
        data_centre = leaf.text('data_centre')
        regions = fleet.regions_by_data_centre
        # Without any data centre the fault is in the fleet section.
        if regions and data_centre not in regions:
            leaf.report(
                'data_centre', f'not in fleet.data_centres: {data_centre!r}'
            )
        leafs[leaf_id] = LeafSettings(
            leaf_id, leaf.address('address'), data_centre
        )
        if not leafs[leaf_id].address.port and leaf.has('address'):
            leaf.report('address', 'must have a port above 0')
        leaf.finish()
    if not leafs:
        reader.report('leafs', 'must name at least one leaf')
    return leafs
