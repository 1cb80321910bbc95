"""Metrics of the resources that the listeners of a process share."""

from collections.abc import Iterator

from clementinebank.http._resources import ServerResources
from clementinebank.metrics import Sample, create_sample, names


def read_resource_samples(resources: ServerResources) -> Iterator[Sample]:
    """Yield the parts of the memory budget and the shed connections."""
    memory = resources.memory
    yield create_sample(
        names.CLIENT_MEMORY, memory.max_bytes, part='all', kind='limit'
    )
    for part, used in memory.used_by_part.items():
        yield create_sample(
            names.CLIENT_MEMORY, used, part=part.value, kind='held'
        )
        yield create_sample(
            names.CLIENT_MEMORY,
            memory.reserved_bytes(part),
            part=part.value,
            kind='reserved',
        )
    for reason, count in memory.sheds.count_by_reason.items():
        yield create_sample(names.SHED_CONNECTIONS, count, reason=reason)
