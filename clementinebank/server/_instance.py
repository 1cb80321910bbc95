"""One entry instance: its parts and their life cycle."""

import attrs
import curio
from eliot import log_message

from clementinebank.clock import now
from clementinebank.distribution import DocumentFollower, create_follower
from clementinebank.document import Document, HeadRecord, ServiceSettings
from clementinebank.errors import Failure, Step
from clementinebank.http import HttpRequest, HttpResponse, HttpServer
from clementinebank.peer import PeerClient, PeerServer
from clementinebank.platform import (
    HttpInstanceList,
    HttpKeyValueService,
    InstanceList,
    KeyValueService,
)
from clementinebank.search import SearchEngine
from clementinebank.server._routes import Listener, dispatch
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
    instance_list: InstanceList
    peer_client: PeerClient = attrs.Factory(PeerClient)
    follower: DocumentFollower = attrs.field(init=False)
    document: Document | None = None
    engines_by_service: dict[str, SearchEngine] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the follower of the document."""
        self.follower = create_follower(
            self.settings,
            self.key_value,
            self.instance_list,
            self.peer_client,
            self._put_in_force,
        )

    @property
    def head(self) -> HeadRecord:
        """Return the head record in force."""
        return self.follower.exchange.state.head

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return self.document is not None and (
            self.follower.exchange.may_serve(now())
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
        if self.is_ready:
            return None
        message = 'the document of this instance is not known to be current'
        return Failure(
            'isolated', message, Step.ADMIT, peer=self.settings.instance_id
        )

    async def run(self) -> None:
        """Serve until the task is cancelled."""
        peers = self.settings.peers
        peer_server = PeerServer(peers.host, peers.port, self.follower.answer)
        async with curio.TaskGroup() as group:
            await group.spawn(peer_server.serve)
            await group.spawn(self.follower.run)
            for listener, server in self._servers().items():
                await group.spawn(server.serve)
                log_message(
                    message_type='listener:started',
                    listener=listener.value,
                    address=f'{server.host}:{server.port}',
                )

    async def activate(self, head: HeadRecord) -> None:
        """Put a head record in force that this instance has written."""
        await self.follower.accept(head)

    async def announce_leaving(self) -> None:
        """Tell peers that this instance is leaving."""
        await self.follower.announce_leaving()

    async def _put_in_force(self) -> None:
        document = self.follower.exchange.state.document
        if document is not None:
            self.document = document
            await self._update_engines(document)

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
                    service, document, self.settings.data_centre
                )
                self.engines_by_service[name] = engine
            await engine.update(service, document)

    def _servers(self) -> dict[Listener, HttpServer]:
        callers = self.settings.callers
        operators = self.settings.operators
        return {
            Listener.CALLERS: HttpServer(
                callers.host, callers.port, self._handle_caller
            ),
            Listener.OPERATORS: HttpServer(
                operators.host, operators.port, self._handle_operator
            ),
        }

    async def _handle_caller(self, request: HttpRequest) -> HttpResponse:
        return await dispatch(self, Listener.CALLERS, request)

    async def _handle_operator(self, request: HttpRequest) -> HttpResponse:
        return await dispatch(self, Listener.OPERATORS, request)


def create_instance(settings: InstanceSettings) -> Instance:
    """Return an instance with the adapters of its settings."""
    return Instance(
        settings,
        HttpKeyValueService(settings.key_value),
        HttpInstanceList(settings.instance_list),
    )
