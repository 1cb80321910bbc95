"""Strict parsing and validation of a service section."""

from collections import Counter

import attrs

from clementinebank.document._model import (
    BOOKING_GROUP_ID,
    DEFAULT_DEADLINE_MS,
    DEFAULT_EXTRA_LOAD,
    DEFAULT_RETENTION_HOURS,
    GroupSettings,
    LeafEndpoint,
    Objectives,
    ServiceSettings,
)
from clementinebank.validation import FieldReader

SERVICE_KINDS = ('search', 'booking')
ANSWER_POLICY_NAMES = ('latency_first', 'coverage_first')
MAX_DEADLINE_MS = 60_000


@attrs.frozen
class FleetConstraints:
    """Fleet settings against which a service section is validated.

    They are part of the key under which the result of a service section is
    cached, so that the section is validated again once one of them changes.

    Parameters
    ----------
    data_centres : frozenset of str
        Names of the data centres.
    instances_sharing_leaf : int
        Number of instances among which the connections of a leaf are divided.
    caller_delay_ms : float
        One-way delay between a caller and an instance, in milliseconds.
    """

    data_centres: frozenset[str]
    instances_sharing_leaf: int
    caller_delay_ms: float


def parse_service_section(
    name: str, reader: FieldReader, constraints: FleetConstraints
) -> ServiceSettings:
    """Read and validate a service section.

    Parameters
    ----------
    name : str
        Name of the service.
    reader : FieldReader
        Fields of the section. Problems are reported to it.
    constraints : FleetConstraints
        Fleet settings against which the section is validated.

    Returns
    -------
    ServiceSettings
        Settings of the service; usable only if no problem was reported.
    """
    kind = reader.text('kind', choices=SERVICE_KINDS)
    groups = (
        _read_groups(reader, constraints)
        if kind == 'search'
        else _read_single_group(reader, constraints)
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
    _report_invalid_sizes(reader, service, constraints)
    _report_shared_addresses(reader, groups)
    reader.report_unknown_fields()
    return service


def _report_invalid_sizes(
    reader: FieldReader, service: ServiceSettings, constraints: FleetConstraints
) -> None:
    if service.connections < constraints.instances_sharing_leaf:
        reader.report(
            'connections',
            f'{service.connections} cannot be divided among '
            f'{constraints.instances_sharing_leaf} instances '
            '(fleet.max_instances or fleet.instances_per_leaf); the shares '
            'would exceed the limit of the leaf',
        )
    if service.slots > service.connections:
        reader.report(
            'slots',
            f'{service.slots} slots cannot be used over '
            f'{service.connections} connections, which carry one request each',
        )
    round_trip_ms = 2 * constraints.caller_delay_ms
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
    child.report_unknown_fields()
    return objectives


def _read_groups(
    reader: FieldReader, constraints: FleetConstraints
) -> dict[str, GroupSettings]:
    groups: dict[str, GroupSettings] = {}
    for group_id, group in reader.children('groups'):
        groups[group_id] = GroupSettings(
            group_id, group.text('yard'), _read_leafs(group, constraints)
        )
        group.report_unknown_fields()
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
            first_leaf_id = leaf_ids_by_address.setdefault(
                address, leaf.leaf_id
            )
            if first_leaf_id != leaf.leaf_id and leaf.address.port:
                path = f'leafs.{leaf.leaf_id}.address'
                if group.group_id != BOOKING_GROUP_ID:
                    path = f'groups.{group.group_id}.{path}'
                reader.report(path, f'{address} is also leaf {first_leaf_id}')


def _read_single_group(
    reader: FieldReader, constraints: FleetConstraints
) -> dict[str, GroupSettings]:
    leafs = _read_leafs(reader, constraints)
    return {BOOKING_GROUP_ID: GroupSettings(BOOKING_GROUP_ID, '', leafs)}


def _read_leafs(
    reader: FieldReader, constraints: FleetConstraints
) -> dict[str, LeafEndpoint]:
    leafs: dict[str, LeafEndpoint] = {}
    for leaf_id, leaf in reader.children('leafs'):
        data_centre = leaf.text('data_centre')
        # If the fleet section names no data centre, that is reported there and
        # not for each leaf.
        known_data_centres = constraints.data_centres
        if known_data_centres and data_centre not in known_data_centres:
            leaf.report(
                'data_centre', f'not in fleet.data_centres: {data_centre!r}'
            )
        leafs[leaf_id] = LeafEndpoint(
            leaf_id, leaf.address('address'), data_centre
        )
        if not leafs[leaf_id].address.port and leaf.has('address'):
            leaf.report('address', 'must have a port above 0')
        leaf.report_unknown_fields()
    if not leafs:
        reader.report('leafs', 'must name at least one leaf')
    return leafs
