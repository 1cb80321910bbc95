"""One entry instance: its parts and their life cycle."""

import attrs
import curio

from clementinebank.booking import BookingEngines
from clementinebank.clock import now
from clementinebank.coordination import (
    HttpInstanceList,
    HttpKeyValueService,
    InstanceList,
    KeyValueService,
)
from clementinebank.distribution import DocumentFollower, create_follower
from clementinebank.document import Document, HeadRecord, ServiceSettings
from clementinebank.errors import Failure, Step
from clementinebank.http import HttpServer
from clementinebank.peer import PeerClient, create_peer_server
from clementinebank.rpc import RpcServer
from clementinebank.search import SearchEngine
from clementinebank.server._life_cycle import LifeCycle
from clementinebank.server._listeners import create_listeners
from clementinebank.server._loop_monitor import LoopMonitor
from clementinebank.server._observer import Observer
from clementinebank.server._routes import Listener
from clementinebank.server._telemetry import add_sources, on_loop_delay
from clementinebank.settings import InstanceSettings


@attrs.define(eq=False)
class Instance:
    """An entry instance.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of this process.
    key_value : KeyValueService
        The platform's key-value service.
    instance_list : InstanceList
        The platform's instance list.
    """

    settings: InstanceSettings
    key_value: KeyValueService
    instance_list: InstanceList = attrs.field()
    peer_client: PeerClient = attrs.Factory(PeerClient)
    follower: DocumentFollower = attrs.field(init=False)
    peer_server: RpcServer = attrs.field(init=False)
    document: Document | None = None
    engines_by_service: dict[str, SearchEngine] = attrs.Factory(dict)
    bookings: BookingEngines = attrs.field(init=False)
    observer: Observer = attrs.Factory(Observer)
    life_cycle: LifeCycle = attrs.field(init=False)
    loop_monitor: LoopMonitor = attrs.field(init=False)
    listeners: dict[Listener, HttpServer] = attrs.field(init=False)

    @instance_list.default
    def _create_instance_list(self) -> InstanceList:
        return HttpInstanceList(self.settings.instance_list)

    def __attrs_post_init__(self) -> None:
        """Create the parts that depend on the settings."""
        self.bookings = BookingEngines(
            self.key_value,
            self.settings.instance_id,
            self.settings.data_centre,
        )
        self.life_cycle = LifeCycle(self.settings)
        self.loop_monitor = LoopMonitor(on_loop_delay(self.observer.metrics))
        self.listeners = create_listeners(self)
        add_sources(self)
        self.follower = create_follower(
            self.settings,
            self.key_value,
            self.instance_list,
            self.peer_client,
            self._put_in_force,
        )
        peers = self.settings.peers
        self.peer_server = create_peer_server(
            peers.host, peers.port, self.follower.answer
        )
        self.life_cycle.on_leaving(self.follower.announce_leaving)
        self.loop_monitor.on_pause(self._invalidate_state)

    @property
    def head(self) -> HeadRecord:
        """Return the head record in force."""
        return self.follower.exchange.state.head

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return (
            self.life_cycle.is_serving
            and self.listeners[Listener.CALLERS].is_listening
            and self.isolation_failure() is None
        )

    @property
    def document_revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return self.document.revision if self.document else 0

    @property
    def currency(self) -> str:
        """Return the currency of the document in force."""
        return self.follower.exchange.currency_state(now()).value

    def service(self, name: str) -> ServiceSettings | None:
        """Return the settings of a service, or ``None``."""
        if self.document is None:
            return None
        return self.document.services_by_name.get(name)

    def isolation_failure(self) -> Failure | None:
        """Return why callers are refused while this instance is isolated."""
        if self.document is not None and (
            self.follower.exchange.may_serve(now())
        ):
            return None
        message = 'the document of this instance is not known to be current'
        return Failure(
            'isolated', message, Step.ADMIT, peer=self.settings.instance_id
        )

    async def run(self) -> int:
        """Serve until a signal and return the exit status.

        The group ends with the shutdown or with the first failure.
        """
        group = curio.TaskGroup(wait=object)
        async with group:
            await group.spawn(self.peer_server.serve)
            await group.spawn(self.follower.run)
            await group.spawn(self.loop_monitor.run)
            for server in self.listeners.values():
                await group.spawn(server.serve)
            await group.spawn(
                self.life_cycle.run,
                self.listeners[Listener.CALLERS],
                self.listeners[Listener.OPERATORS],
            )
        await self._stop_engines()
        return int(group.result)

    async def _stop_engines(self) -> None:
        """Retire every pool, so that none opens a connection at the exit.

        curio's kernel fails if a task starts another one while it cancels the
        tasks that are left, as a probe that wakes at that moment would do.
        """
        for engines in (
            self.engines_by_service,
            self.bookings.engines_by_service,
        ):
            for engine in engines.values():
                await engine.stop()

    async def activate(self, head: HeadRecord) -> None:
        """Put a head record in force that this instance has written."""
        await self.follower.accept(head)

    async def _put_in_force(self) -> None:
        document = self.follower.exchange.state.document
        if document is not None:
            self.document = document
            await self._update_engines(document)
            await self.bookings.update(document)

    def _invalidate_state(self, pause_s: float) -> None:
        """Renew what is derived from time before the next request."""
        self.follower.exchange.tick(now())
        for engine in self.engines_by_service.values():
            engine.invalidate_state()
        self.bookings.invalidate_state()

    async def _update_engines(self, document: Document) -> None:
        for name in list(self.engines_by_service):
            service = document.services_by_name.get(name)
            if service is None or service.kind != 'search':
                await self.engines_by_service.pop(name).stop()
        for name, service in document.services_by_name.items():
            if service.kind != 'search':
                continue
            engine = self.engines_by_service.get(name)
            if engine is None:
                engine = SearchEngine(
                    service,
                    document,
                    self.settings.data_centre,
                    self.observer.on_trace,
                )
                self.engines_by_service[name] = engine
            await engine.update(service, document)


def create_instance(settings: InstanceSettings) -> Instance:
    """Return an instance with the adapters of its settings."""
    return Instance(settings, HttpKeyValueService(settings.key_value))
