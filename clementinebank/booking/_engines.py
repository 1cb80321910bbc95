"""Booking engines of one instance, and removal of expired claim records."""

import random

import attrs
import curio
from result import Err

from clementinebank.booking._budget import (
    BookingBudget,
    writes_per_second_per_instance,
)
from clementinebank.booking._engine import BookingEngine
from clementinebank.booking._key import S_PER_HOUR, new_key
from clementinebank.booking._operations import has_expired, is_removable
from clementinebank.booking._record import KEY_PREFIX
from clementinebank.clock import now, wall_time
from clementinebank.coordination import KeyValueService
from clementinebank.document import Document, ServiceSettings

# Pause in seconds before a new pass over the claim records.
REMOVE_INTERVAL_S = 10.0
# Pause in seconds before the next page of the same pass.
REMOVE_PAGE_INTERVAL_S = 1.0
# Number of records read as one page. When nothing expires, 20 records of about
# 700 bytes every 10 s are 1.4 KB/s.
REMOVE_PAGE_RECORDS = 20


@attrs.define(eq=False)
class BookingEngines:
    """Booking engines of all services, with the budget that they share.

    Parameters
    ----------
    key_value : KeyValueService
        Key-value service that stores the claims.
    instance_id : str
        Name of this instance.
    data_centre : str
        Data centre of this instance.
    budget : BookingBudget or None
        Shared budget, ``None`` until the first document is in force.
    engines_by_service : dict of str to BookingEngine
        Engines by the name of their service.
    """

    key_value: KeyValueService
    instance_id: str
    data_centre: str
    budget: BookingBudget | None = None
    engines_by_service: dict[str, BookingEngine] = attrs.Factory(dict)
    # For each service, the storage key after which the next page starts; empty
    # before a new pass.
    _cursors: dict[str, str] = attrs.Factory(dict)
    _is_removal_started: bool = False

    async def update(self, document: Document) -> None:
        """Apply a new revision of the document.

        Engines are created, updated and stopped so that there is one for each
        booking service. The removal of expired records starts with the first
        booking service.
        """
        if self.budget is None:
            self.budget = BookingBudget(
                writes_per_second_per_instance(document.fleet)
            )
        self.budget.update(document.fleet)
        services = {
            name: service
            for name, service in document.services_by_name.items()
            if service.kind == 'booking'
        }
        for name in list(self.engines_by_service):
            if name not in services:
                await self.engines_by_service.pop(name).stop()
        for name, service in services.items():
            engine = self.engines_by_service.get(name)
            if engine is None:
                engine = self._new_engine(service, document)
                self.engines_by_service[name] = engine
            await engine.update(service, document)
        if services and not self._is_removal_started:
            self._is_removal_started = True
            await curio.spawn(self._remove_periodically, daemon=True)

    def invalidate_state(self) -> None:
        """Discard the open connections and reported statuses of all leafs."""
        for engine in self.engines_by_service.values():
            engine.invalidate_state()

    async def remove_expired(self, service: ServiceSettings) -> int:
        """Remove the expired records of one page and return their number.

        Unresolved claims are kept. Keys sort by their time, so a pass ends
        with the first page whose last key has not expired. Records are
        removed only while the write budget is more than half full; the rest of
        the page is left to the next call.
        """
        prefix = f'{KEY_PREFIX}{service.name}/'
        after = self._cursors.get(service.name) or _start_cursor(
            prefix, service.retention_hours
        )
        page = await self.key_value.list_page(
            prefix, after, REMOVE_PAGE_RECORDS
        )
        if isinstance(page, Err):
            return 0
        listed = page.ok_value.entries
        hours = service.retention_hours
        removed = 0
        for listed_entry in listed:
            if is_removable(listed_entry, hours, wall_time()):
                if not self._try_acquire_spare_write():
                    return removed
                version = listed_entry.entry.version
                deleted = await self.key_value.delete(listed_entry.key, version)
                removed += deleted.is_ok()
        has_more = not page.ok_value.is_last and has_expired(
            listed[-1].key, hours, wall_time()
        )
        self._cursors[service.name] = listed[-1].key if has_more else ''
        return removed

    def _try_acquire_spare_write(self) -> bool:
        """Return whether a write token was acquired that bookings can spare."""
        if self.budget is None:
            return False
        writes = self.budget.writes
        # Half of the tokens that the bucket can hold are kept for bookings.
        return writes.try_acquire(1, now(), reserve=writes.capacity / 2)

    async def _remove_periodically(self) -> None:
        while True:
            has_more = any(self._cursors.values())
            await curio.sleep(
                REMOVE_PAGE_INTERVAL_S if has_more else REMOVE_INTERVAL_S
            )
            for engine in list(self.engines_by_service.values()):
                await self.remove_expired(engine.service)

    def _new_engine(
        self, service: ServiceSettings, document: Document
    ) -> BookingEngine:
        if self.budget is None:
            raise RuntimeError(
                'no engine can be created before the first document is applied'
            )
        return BookingEngine(
            service,
            document,
            self.instance_id,
            self.data_centre,
            self.key_value,
            self.budget,
        )


def _start_cursor(prefix: str, retention_hours: int) -> str:
    """Return the storage key after which a pass starts.

    With equal probability it is empty, to start at the oldest record, or the
    key of a random time that has expired. If all instances started at the
    oldest record, they would remove the same page.
    """
    if random.random() < 1 / 2:
        return ''
    age_hours = retention_hours * random.uniform(1, 2)
    return prefix + new_key(wall_time() - age_hours * S_PER_HOUR)
