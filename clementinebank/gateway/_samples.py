"""Present figures of a gateway, read with its metrics."""

import math
from typing import Protocol

from clementinebank.clock import now
from clementinebank.forwarding import ForwardingEngine
from clementinebank.http import (
    HttpServer,
    ServerResources,
    read_resource_samples,
)
from clementinebank.leafs import LeafDirectory
from clementinebank.metrics import Sample, create_sample, names
from clementinebank.relay import ControlStore, EntryLog
from clementinebank.routes import RouteTable


class SampledGateway(Protocol):
    """Parts of a gateway whose figures are read."""

    store: ControlStore
    route_table: RouteTable
    entry_log: EntryLog
    engine: ForwardingEngine
    leaf_directory: LeafDirectory
    server: HttpServer
    server_resources: ServerResources


def read_gateway_samples(gateway: SampledGateway) -> list[Sample]:
    """Return the present figures of a gateway for its metrics."""
    return [
        create_sample(names.KEY_VALUE_CALLS, gateway.store.calls),
        *read_state_samples(gateway.route_table, gateway.entry_log),
        *_placement_samples(gateway),
        create_sample(
            names.EVACUATED_DATA_CENTRES,
            len(gateway.leaf_directory.evacuated_data_centres),
        ),
        create_sample(
            names.LIMITED_LEAFS, gateway.engine.router.limits.limited_count
        ),
        create_sample(
            names.LEAVING_LEAFS,
            len(gateway.leaf_directory.registered_departures()),
        ),
        create_sample(
            names.COLD_LEAFS, len(gateway.engine.router.cold_until_by_leaf)
        ),
        *_malformed_samples(gateway),
        *_answer_samples(gateway),
        create_sample(
            names.CONNECTIONS,
            gateway.server.open_connections,
            listener='callers',
        ),
        create_sample(
            names.IN_FLIGHT, gateway.server.in_flight, listener='callers'
        ),
        create_sample(
            names.CLIENT_MEMORY,
            gateway.engine.buffers.used_bytes,
            part='leaf_answers',
            kind='held',
        ),
        *read_resource_samples(gateway.server_resources),
    ]


def read_state_samples(
    route_table: RouteTable, entry_log: EntryLog
) -> list[Sample]:
    """Return the version in force, the known state and their ages.

    The ages are left out before the first version and the first confirmation,
    and the era as long as none is known.
    """
    at = now()
    samples = [
        create_sample(names.CONFIGURATION_VERSION, route_table.version),
        create_sample(names.STORE_REVISION, entry_log.revision),
        create_sample(names.STORE_RETURNS, entry_log.restored_count),
    ]
    if entry_log.position.era is not None:
        samples.append(create_sample(names.STORE_ERA, entry_log.position.era))
    ages_s = {
        names.CONFIGURATION_AGE: at - route_table.activated_at,
        names.STORE_CONFIRMATION_AGE: entry_log.age_s(at),
    }
    return samples + [
        create_sample(name, age_s)
        for name, age_s in ages_s.items()
        if math.isfinite(age_s)
    ]


def _placement_samples(gateway: SampledGateway) -> list[Sample]:
    """Return the calls by their place, none without a placement."""
    placement = gateway.engine.router.placement
    if placement is None:
        return []
    return [
        create_sample(names.PLACED_CALLS, placement.home_count, place='home'),
        create_sample(names.PLACED_CALLS, placement.away_count, place='away'),
    ]


def _answer_samples(gateway: SampledGateway) -> list[Sample]:
    counts = gateway.engine.answer_counts
    return [
        create_sample(names.ANSWER_CHECKS, count, check=name)
        for name, count in counts.items()
    ]


def _malformed_samples(gateway: SampledGateway) -> list[Sample]:
    counts = gateway.engine.statements.malformed_by_name
    return [
        create_sample(names.MALFORMED_STATEMENTS, count, statement=name)
        for name, count in counts.items()
    ]
