"""One entry instance: its parts and their life cycle."""

import attrs
import curio
from eliot import log_message
from result import Err

from clementinebank.booking import BookingEngines
from clementinebank.document import (
    DOCUMENT_KEY,
    Document,
    HeadRecord,
    ServiceSettings,
    decode_head,
    parse_document,
)
from clementinebank.http import HttpRequest, HttpResponse, HttpServer
from clementinebank.platform import Entry, HttpKeyValueService, KeyValueService
from clementinebank.search import SearchEngine
from clementinebank.server._routes import Listener, dispatch
from clementinebank.settings import InstanceSettings

WATCH_WAIT_MS = 5000
RETRY_DELAY_S = 0.5


@attrs.define(eq=False)
class Instance:
    """An entry instance.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of this process.
    key_value : KeyValueService
        The platform's key-value service.
    """

    settings: InstanceSettings
    key_value: KeyValueService
    head: HeadRecord = HeadRecord()
    document: Document | None = None
    engines_by_service: dict[str, SearchEngine] = attrs.Factory(dict)
    bookings: BookingEngines = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the booking engines, which follow the document."""
        self.bookings = BookingEngines(
            self.key_value,
            self.settings.instance_id,
            self.settings.data_centre,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return self.document is not None

    @property
    def document_revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return self.document.revision if self.document else 0

    def service(self, name: str) -> ServiceSettings | None:
        """Return the settings of a service, or ``None``."""
        if self.document is None:
            return None
        return self.document.services_by_name.get(name)

    async def run(self) -> None:
        """Serve until the task is cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._follow_document)
            for listener, server in self._servers().items():
                await group.spawn(server.serve)
                log_message(
                    message_type='listener:started',
                    listener=listener.value,
                    address=f'{server.host}:{server.port}',
                )

    async def activate(self, head: HeadRecord) -> None:
        """Put a head record in force if its revision is higher."""
        if head.revision <= self.head.revision:
            return
        parsed = parse_document(head.texts_by_section, head.revision)
        if isinstance(parsed, Err):
            log_message(
                message_type='document:invalid',
                revision=head.revision,
                problems=[str(problem) for problem in parsed.err_value],
            )
            return
        self.head = head
        self.document = parsed.ok_value
        await self._update_engines(parsed.ok_value)
        await self.bookings.update(parsed.ok_value)
        log_message(message_type='document:activated', revision=head.revision)

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

    async def _follow_document(self) -> None:
        version = 0
        while True:
            watched = await self.key_value.watch(
                DOCUMENT_KEY, version, WATCH_WAIT_MS
            )
            if isinstance(watched, Err):
                log_message(
                    message_type='document:watch_failed',
                    reason=str(watched.err_value),
                )
                await curio.sleep(RETRY_DELAY_S)
            elif watched.ok_value is not None:
                version = watched.ok_value.version
                await self._take_entry(watched.ok_value)

    async def _take_entry(self, entry: Entry) -> None:
        if not entry.version:
            await curio.sleep(RETRY_DELAY_S)
            return
        try:
            head = decode_head(entry.value)
        except ValueError as error:
            log_message(message_type='document:invalid', problems=[str(error)])
            return
        await self.activate(head)

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
    return Instance(settings, HttpKeyValueService(settings.key_value))
