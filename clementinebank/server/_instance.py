"""Assembly of an entry instance: listeners, engines and life cycle."""

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
from clementinebank.server._telemetry import (
    add_instance_source,
    create_loop_delay_recorder,
)
from clementinebank.settings import InstanceSettings


@attrs.define(eq=False)
class Instance:
    """Entry instance: one process of the query tier.

    It follows the configuration document, keeps one engine for each search
    and booking service of the document in force, and serves callers,
    operators and the other instances (peers).

    Parameters
    ----------
    settings : InstanceSettings
        Settings of this process.
    key_value : KeyValueService
        Client of the platform's key-value service, which stores the document
        and the claims of bookings.
    instance_list : InstanceList
        Client of the platform's list of instances, by default the one at the
        address in the settings.
    peer_client : PeerClient
        Sends messages to other instances.
    document : Document or None
        Document in force; ``None`` until the first one is received.
    engines_by_service : dict of str to SearchEngine
        Engines of the search services of the document in force.
    observer : Observer
        Metrics and traces of this instance.
    """

    settings: InstanceSettings
    key_value: KeyValueService
    instance_list: InstanceList = attrs.field()
    peer_client: PeerClient = attrs.Factory(PeerClient)
    follower: DocumentFollower = attrs.field(init=False)
    peer_server: RpcServer = attrs.field(init=False)
    document: Document | None = None
    engines_by_service: dict[str, SearchEngine] = attrs.Factory(dict)
    booking_engines: BookingEngines = attrs.field(init=False)
    observer: Observer = attrs.Factory(Observer)
    life_cycle: LifeCycle = attrs.field(init=False)
    loop_monitor: LoopMonitor = attrs.field(init=False)
    listeners: dict[Listener, HttpServer] = attrs.field(init=False)

    @instance_list.default
    def _create_instance_list(self) -> InstanceList:
        return HttpInstanceList(self.settings.instance_list)

    def __attrs_post_init__(self) -> None:
        """Create the parts that need the settings and connect them."""
        self.booking_engines = BookingEngines(
            self.key_value,
            self.settings.instance_id,
            self.settings.data_centre,
        )
        self.life_cycle = LifeCycle(self.settings)
        self.loop_monitor = LoopMonitor(
            create_loop_delay_recorder(self.observer.metrics)
        )
        self.listeners = create_listeners(self)
        add_instance_source(self)
        self.follower = create_follower(
            self.settings,
            self.key_value,
            self.instance_list,
            self.peer_client,
            self._apply_document_in_force,
        )
        peers = self.settings.peers
        self.peer_server = create_peer_server(
            peers.host, peers.port, self.follower.handle_request
        )
        self.life_cycle.add_leaving_hook(self.follower.announce_leaving)
        self.loop_monitor.on_pause(self._invalidate_state)

    @property
    def head(self) -> HeadRecord:
        """Return the head record: the stored form of the document in force."""
        return self.follower.exchange.state.head

    @property
    def is_ready(self) -> bool:
        """Return whether load balancers may send callers to this instance.

        False during the shutdown, before the callers' listener is open, and
        while this instance refuses callers because it is isolated.
        """
        return (
            self.life_cycle.is_serving
            and self.listeners[Listener.CALLERS].is_listening
            and self.isolation_failure() is None
        )

    @property
    def document_revision(self) -> int:
        """Return the revision of the document in force, 0 if there is none."""
        return self.document.revision if self.document else 0

    @property
    def currency(self) -> str:
        """Return how surely the document in force is the newest one.

        ``confirmed``, ``presumed`` or ``isolated``, see ``CurrencyState``.
        """
        return self.follower.exchange.currency_state(now()).value

    def find_service(self, name: str) -> ServiceSettings | None:
        """Return the settings of a service in the document in force.

        ``None`` if there is no document or it has no such service.
        """
        if self.document is None:
            return None
        return self.document.services_by_name.get(name)

    def isolation_failure(self) -> Failure | None:
        """Return the failure with which callers are refused, or ``None``.

        Callers are refused while this instance has no document. They are also
        refused while it cannot know that its document is current, unless the
        document says that isolated instances serve.
        """
        if self.document is not None and (
            self.follower.exchange.may_serve(now())
        ):
            return None
        message = 'the document of this instance is not known to be current'
        return Failure(
            'isolated', message, Step.ADMIT, peer=self.settings.instance_id
        )

    async def run(self) -> int:
        """Serve until the shutdown has ended and return the exit status.

        The first task that returns a value or raises ends all others: that
        is the life cycle after its shutdown, or any task that fails.
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
        """Stop every engine, so that no leaf pool opens a connection at exit.

        At exit, curio's kernel cancels the tasks that are left and fails if
        one of them starts another task. A probe of a leaf that wakes at that
        moment would start one to open its connection.
        """
        for engines in (
            self.engines_by_service,
            self.booking_engines.engines_by_service,
        ):
            for engine in engines.values():
                await engine.stop()

    async def activate(self, head: HeadRecord) -> None:
        """Activate a head record that this instance has just written."""
        await self.follower.apply_written_head(head)

    async def _apply_document_in_force(self) -> None:
        """Update the engines after the document in force has changed."""
        document = self.follower.exchange.state.document
        if document is not None:
            self.document = document
            await self._update_engines(document)
            await self.booking_engines.update(document)

    def _invalidate_state(self, pause_s: float) -> None:
        """Discard, after a pause of the process, state that may be outdated.

        It runs before the next request is handled. The currency of the
        document is computed anew, and the engines stop using the connections
        and the reported statuses of leafs from before the pause.

        Parameters
        ----------
        pause_s : float
            Length of the pause in seconds; not used.
        """
        self.follower.exchange.tick(now())
        for engine in self.engines_by_service.values():
            engine.invalidate_state()
        self.booking_engines.invalidate_state()

    async def _update_engines(self, document: Document) -> None:
        """Create, update and stop search engines to match a document."""
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
                    self.observer.set_query_events,
                )
                self.engines_by_service[name] = engine
            await engine.update(service, document)


def create_instance(settings: InstanceSettings) -> Instance:
    """Return an instance that uses the platform services of its settings."""
    return Instance(settings, HttpKeyValueService(settings.key_value))
