"""Counts that the burn report reads from each instance."""

from typing import Any

import attrs
from result import Err, Ok, Result

from clementinebank.document import Objectives
from clementinebank.errors import FieldProblem
from clementinebank.metrics import MinuteSlot, read_slot
from clementinebank.validation import FieldReader


@attrs.frozen
class ServiceCounts:
    """Counts of one service on one instance.

    Parameters
    ----------
    objectives : Objectives
        Objectives in the document of the instance.
    slots : tuple of MinuteSlot
        Counts per minute, oldest first.
    """

    objectives: Objectives
    slots: tuple[MinuteSlot, ...]


@attrs.frozen
class InstanceCounts:
    """Counts of all services of one instance.

    Parameters
    ----------
    instance_id, data_centre : str
        Id of the instance and the data centre it runs in.
    revision : int
        Revision of the document on the instance.
    recording_since : float
        Unix time in seconds at which the instance started; it has no counts
        of earlier requests.
    services_by_name : dict of str to ServiceCounts
        Counts of each service.
    """

    instance_id: str
    data_centre: str
    revision: int
    recording_since: float
    services_by_name: dict[str, ServiceCounts]


def decode_instance_counts(
    data: Any,
) -> Result[InstanceCounts, list[FieldProblem]]:
    """Decode the reply of the operator route ``/v1/burn``.

    The error is a list of all problems in the reply.
    """
    reader = FieldReader(data)
    record = InstanceCounts(
        reader.text('instance_id'),
        reader.text('data_centre'),
        reader.integer('revision'),
        reader.number('recording_since', maximum=1e12),
        {
            name: _read_service(service_reader)
            for name, service_reader in reader.children('services')
        },
    )
    return Err(reader.problems) if reader.problems else Ok(record)


def _read_service(reader: FieldReader) -> ServiceCounts:
    objectives_reader = reader.child('objectives')
    objectives = Objectives(
        objectives_reader.integer('latency_ms'),
        objectives_reader.number('latency_ratio', maximum=1),
        objectives_reader.number('coverage_ratio', maximum=1),
    )
    raw_slots = reader.data.get('slots')
    if not isinstance(raw_slots, list):
        reader.report('slots', f'must be a list, got {raw_slots!r}')
        raw_slots = []
    slots = tuple(
        read_slot(FieldReader(raw, problems=reader.problems))
        for raw in raw_slots
    )
    return ServiceCounts(objectives, slots)
