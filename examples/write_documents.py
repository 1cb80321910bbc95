"""Write the example documents.

These are the documents of both deployments at their present sizes, and a small
one for ``run.sh``.
"""

from pathlib import Path
from typing import Any

import attrs
import yaml

# Replicas in each group of a search service.
REPLICAS = 3
REPLICA_NAMES = 'abc'


@attrs.frozen
class ServiceSize:
    """Name, owner and size of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    owner : str
        Team that owns the section of the service.
    groups : int
        Groups of a search service, of ``REPLICAS`` leafs each; 0 for a
        booking service.
    leafs : int
        Leafs of a booking service; 0 for a search service.
    slots : int
        Requests that a leaf runs at once.
    connections : int
        Connections that a leaf accepts.
    connect_ms : int
        Time to open a connection in milliseconds.
    """

    name: str
    owner: str
    groups: int
    leafs: int
    slots: int
    connections: int
    connect_ms: int


@attrs.frozen
class Deployment:
    """Data centres, delays and services of one deployment.

    The leafs get consecutive ports from ``first_port`` on; delays are one-way,
    in milliseconds.
    """

    name: str
    first_port: int
    regions_by_data_centre: dict[str, str]
    yards: tuple[str, ...]
    data_centre_delay_ms: int
    region_delay_ms: int
    answer_policy: str
    services: tuple[ServiceSize, ...]


KUMAGAWA = Deployment(
    'kumagawa',
    10_000,
    {
        'kokura-yard': 'kita-kyushu',
        'uto-yard': 'kumamoto',
        'taniyama-yard': 'kagoshima',
    },
    ('kokura-yard', 'uto-yard', 'taniyama-yard'),
    4,
    8,
    'latency_first',
    (
        ServiceSize('pickup-desk', 'pickup-team', 10, 0, 3, 30, 6),
        ServiceSize('wash-floor', 'wash-team', 15, 0, 3, 30, 6),
        ServiceSize('claim-counter', 'counter-team', 0, 5, 6, 100, 1),
        ServiceSize('route-plan', 'route-team', 0, 3, 6, 100, 1),
    ),
)
BLOCKWOOD = Deployment(
    'blockwood',
    11_000,
    {'north-a': 'north', 'central-a': 'central', 'south-a': 'south'},
    ('arima', 'chaguanas', 'port-of-spain', 'san-fernando'),
    3,
    20,
    'coverage_first',
    (
        ServiceSize('catalogue', 'catalogue-team', 10, 0, 2, 25, 6),
        ServiceSize('yard-ledger', 'ledger-team', 15, 0, 2, 25, 6),
        ServiceSize('orders', 'orders-team', 0, 4, 4, 40, 1),
        ServiceSize('dispatch', 'dispatch-team', 0, 3, 4, 40, 1),
    ),
)
SMALL = attrs.evolve(
    KUMAGAWA,
    name='kumagawa-small',
    first_port=12_000,
    services=(
        ServiceSize('pickup-desk', 'pickup-team', 4, 0, 3, 30, 6),
        ServiceSize('claim-counter', 'counter-team', 0, 2, 6, 100, 1),
    ),
)


def document_of(deployment: Deployment) -> dict[str, Any]:
    """Return the sections of the document of a deployment by name."""
    data_centres = list(deployment.regions_by_data_centre)
    document: dict[str, Any] = {
        'fleet': {
            'owner': 'platform-team',
            'max_instances': 8,
            'isolation': 'refuse',
            'data_centre_delay_ms': deployment.data_centre_delay_ms,
            'region_delay_ms': deployment.region_delay_ms,
            'caller_delay_ms': 3,
            'data_centres': {
                name: {'region': region}
                for name, region in deployment.regions_by_data_centre.items()
            },
        },
    }
    port = deployment.first_port
    for size in deployment.services:
        section: dict[str, Any] = {
            'owner': size.owner,
            'kind': 'search' if size.groups else 'booking',
            'slots': size.slots,
            'connections': size.connections,
            'connect_ms': size.connect_ms,
            'deadline_ms': 110 if size.groups else 2000,
        }
        if size.groups:
            section['answer_policy'] = deployment.answer_policy
            section['groups'] = {}
        count = size.groups * REPLICAS or size.leafs
        leafs = []
        for number in range(count):
            leafs.append(
                {
                    'address': f'127.0.0.1:{port}',
                    'data_centre': data_centres[number % len(data_centres)],
                }
            )
            port += 1
        for group in range(size.groups):
            section['groups'][f'group-{group:02d}'] = {
                'yard': deployment.yards[group % len(deployment.yards)],
                'leafs': {
                    f'{size.name}-{group:02d}-{replica}': leafs[
                        group * REPLICAS + index
                    ]
                    for index, replica in enumerate(REPLICA_NAMES)
                },
            }
        if not size.groups:
            section['leafs'] = {
                f'{size.name}-{number:02d}': leaf
                for number, leaf in enumerate(leafs)
            }
        document[f'service.{size.name}'] = section
    return document


def main() -> None:
    """Write one file for each deployment to the directory of this script."""
    for deployment in (KUMAGAWA, BLOCKWOOD, SMALL):
        path = Path(__file__).parent / f'{deployment.name}.yaml'
        path.write_text(
            yaml.safe_dump(document_of(deployment), sort_keys=False)
        )


if __name__ == '__main__':
    main()
