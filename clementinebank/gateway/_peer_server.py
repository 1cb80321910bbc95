"""Listener for other instances."""

import attrs

from clementinebank.aggregation import GATHER_PATH, AggregationService
from clementinebank.departures import TELL_PATH, DepartureAnnouncer
from clementinebank.gateway._settings import GatewaySettings
from clementinebank.http import ServerResources
from clementinebank.ratelimit import ACQUIRE_PATH, LimitService
from clementinebank.relay import WATCH_PATH, RelayService
from clementinebank.rpc import RpcServer


@attrs.frozen
class PeerServices:
    """Services that an instance offers to the others."""

    relay: RelayService
    aggregation: AggregationService
    limits: LimitService
    departures: DepartureAnnouncer


def create_peer_server(
    settings: GatewaySettings,
    services: PeerServices,
    resources: ServerResources,
) -> RpcServer:
    """Return the server of all methods for other instances.

    Parameters
    ----------
    settings : GatewaySettings
        Address and largest number of connections.
    services : PeerServices
        Services whose methods are offered.
    resources : ServerResources
        Shared with the other servers of the process.
    """
    return RpcServer(
        settings.peers.host,
        settings.peers.port,
        {
            WATCH_PATH: services.relay.handle_watch,
            GATHER_PATH: services.aggregation.handle_gather,
            ACQUIRE_PATH: services.limits.handle_acquire,
            TELL_PATH: services.departures.handle_tell,
        },
        accepting_paths=(GATHER_PATH,),
        resources=resources,
        max_connections=settings.resources.max_peer_connections,
    )
