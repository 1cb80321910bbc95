"""Booking engines of one instance and the removal of expired claims."""

import random

import attrs
import curio
from result import Err

from clementinebank.booking._budget import BookingBudget, writes_share
from clementinebank.booking._engine import BookingEngine
from clementinebank.booking._key import S_PER_HOUR, new_key
from clementinebank.booking._operations import has_expired, is_removable
from clementinebank.booking._record import KEY_PREFIX
from clementinebank.clock import now, wall_time
from clementinebank.coordination import KeyValueService
from clementinebank.document import Document, ServiceSettings

REMOVE_INTERVAL_S = 10.0
# Between the pages of one pass.
REMOVE_AGAIN_S = 1.0
# 20 records of about 700 bytes every 10 s are 1.4 KB/s when nothing expires.
REMOVE_PAGE = 20


@attrs.define(eq=False)
class BookingEngines:
    """Engines by service, with the budget that they share.

    Parameters
    ----------
    key_value : KeyValueService
        Where claims are kept.
    instance_id : str
        This instance.
    data_centre : str
        Data centre of this instance.
    """

    key_value: KeyValueService
    instance_id: str
    data_centre: str
    budget: BookingBudget | None = None
    engines_by_service: dict[str, BookingEngine] = attrs.Factory(dict)
    _cursors: dict[str, str] = attrs.Factory(dict)
    _is_removing: bool = False

    async def update(self, document: Document) -> None:
        """Follow a new revision of the document."""
        if self.budget is None:
            self.budget = BookingBudget(writes_share(document.fleet))
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
        if services and not self._is_removing:
            self._is_removing = True
            await curio.spawn(self._remove_forever, daemon=True)

    def distrust(self) -> None:
        """Trust no state of a leaf until it is renewed."""
        for engine in self.engines_by_service.values():
            engine.distrust()

    async def remove_expired(self, service: ServiceSettings) -> int:
        """Remove expired settled claims of one page; return their number.

        Keys sort by their time, so a pass goes on until a page ends with a
        key that has not expired. Removal uses only writes that bookings
        leave over.
        """
        prefix = f'{KEY_PREFIX}{service.name}/'
        after = self._cursors.get(service.name) or _start_of_pass(
            prefix, service.retention_hours
        )
        page = await self.key_value.list_page(prefix, after, REMOVE_PAGE)
        if isinstance(page, Err):
            return 0
        listed = page.ok_value.listed
        hours = service.retention_hours
        removed = 0
        for each in listed:
            if is_removable(each, hours, wall_time()):
                if not self._has_spare_write():
                    return removed
                version = each.entry.version
                gone = await self.key_value.delete(each.key, version)
                removed += gone.is_ok()
        has_more = not page.ok_value.is_last and has_expired(
            listed[-1].key, hours, wall_time()
        )
        self._cursors[service.name] = listed[-1].key if has_more else ''
        return removed

    def _has_spare_write(self) -> bool:
        if self.budget is None:
            return False
        writes = self.budget.writes
        # Half of the bucket stays for bookings.
        return writes.take(1, now(), reserve=writes.capacity / 2)

    async def _remove_forever(self) -> None:
        while True:
            has_more = any(self._cursors.values())
            await curio.sleep(REMOVE_AGAIN_S if has_more else REMOVE_INTERVAL_S)
            for engine in list(self.engines_by_service.values()):
                await self.remove_expired(engine.service)

    def _new_engine(
        self, service: ServiceSettings, document: Document
    ) -> BookingEngine:
        if self.budget is None:
            raise RuntimeError('engines are created with a document')
        return BookingEngine(
            service,
            document,
            self.instance_id,
            self.data_centre,
            self.key_value,
            self.budget,
        )


def _start_of_pass(prefix: str, retention_hours: int) -> str:
    """Return the oldest key or a random expired one.

    Instances that all started with the oldest key would remove the same page.
    """
    if random.random() < 1 / 2:
        return ''
    hours = retention_hours * random.uniform(1, 2)
    return prefix + new_key(wall_time() - hours * S_PER_HOUR)
