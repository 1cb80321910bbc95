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
from clementinebank.http import HttpServer
from clementinebank.platform import Entry, HttpKeyValueService, KeyValueService
from clementinebank.search import SearchEngine
from clementinebank.server._life_cycle import LifeCycle
from clementinebank.server._listeners import create_listeners
from clementinebank.server._loop_monitor import LoopMonitor
from clementinebank.server._observer import Observer
from clementinebank.server._routes import Listener
from clementinebank.server._telemetry import add_sources, on_loop_delay
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
    observer: Observer = attrs.Factory(Observer)
    life_cycle: LifeCycle = attrs.field(init=False)
    loop_monitor: LoopMonitor = attrs.field(init=False)
    listeners: dict[Listener, HttpServer] = attrs.field(init=False)

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

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return (
            self.life_cycle.is_serving
            and self.listeners[Listener.CALLERS].is_listening
            and self.document is not None
        )

    @property
    def document_revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return self.document.revision if self.document else 0

    def service(self, name: str) -> ServiceSettings | None:
        """Return the settings of a service, or ``None``."""
        if self.document is None:
            return None
        return self.document.services_by_name.get(name)

    async def run(self) -> int:
        """Serve until a signal and return the exit status.

        The group ends with the shutdown or with the first failure.
        """
        group = curio.TaskGroup(wait=object)
        async with group:
            await group.spawn(self._follow_document)
            await group.spawn(self.loop_monitor.run)
            for server in self.listeners.values():
                await group.spawn(server.serve)
            await group.spawn(
                self.life_cycle.run,
                self.listeners[Listener.CALLERS],
                self.listeners[Listener.OPERATORS],
            )
        return int(group.result)

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


def create_instance(settings: InstanceSettings) -> Instance:
    """Return an instance with the adapters of its settings."""
    return Instance(settings, HttpKeyValueService(settings.key_value))
