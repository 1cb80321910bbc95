"""Counts of requests per minute of one service, for the burn report."""

from collections import Counter
from typing import Any

import attrs

from clementinebank.validation import FieldReader

SECONDS_PER_MINUTE = 60
# Minutes that are kept: six hours, the longest window of the burn report, and
# the current minute.
KEPT_MINUTES = 361


@attrs.define
class MinuteSlot:
    """Counts of the requests of one service in one minute.

    Parameters
    ----------
    minute : int
        Minutes since the Unix epoch.
    total : int
        Requests that were answered or failed with a server error.
    slow : int
        Requests of ``total`` that took longer than the latency objective or
        failed.
    incomplete : int
        Requests of ``total`` whose answer lacked shards, or that failed.
    shards_by_yard, missing_by_yard : Counter
        Shards asked, and shards missing from the answers, by yard.
    """

    minute: int
    total: int = 0
    slow: int = 0
    incomplete: int = 0
    shards_by_yard: Counter[str] = attrs.Factory(Counter)
    missing_by_yard: Counter[str] = attrs.Factory(Counter)

    def as_json(self) -> dict[str, Any]:
        """Return the slot as JSON data for an operator route."""
        return attrs.asdict(self)


@attrs.frozen
class RequestFacts:
    """Facts about one request that count for the objectives of its service.

    Parameters
    ----------
    is_slow, is_incomplete : bool
        Whether the request uses up error budget of the latency objective and
        of the completeness objective.
    shards_by_yard, missing_by_yard : dict of str to int
        Shards asked, and shards missing from the answer, by yard.
    """

    is_slow: bool
    is_incomplete: bool
    shards_by_yard: dict[str, int] = attrs.Factory(dict)
    missing_by_yard: dict[str, int] = attrs.Factory(dict)


@attrs.define
class SlotRing:
    """Ring buffer with one slot for each of the last 361 minutes."""

    _slots_by_index: dict[int, MinuteSlot] = attrs.Factory(dict)
    _newest_minute: int = 0

    def record(self, wall_s: float, facts: RequestFacts) -> None:
        """Count one request in the slot of its minute.

        If the clock was set back, the request counts in the newest minute, so
        that no slot of an earlier minute is reset.

        Parameters
        ----------
        wall_s : float
            Unix time of the request in seconds.
        facts : RequestFacts
            What to count.
        """
        slot = self._slot_for(wall_s)
        slot.total += 1
        slot.slow += int(facts.is_slow)
        slot.incomplete += int(facts.is_incomplete)
        slot.shards_by_yard.update(facts.shards_by_yard)
        slot.missing_by_yard.update(facts.missing_by_yard)

    def slots(self, wall_s: float) -> list[MinuteSlot]:
        """Return the slots of the last six hours, oldest first.

        Parameters
        ----------
        wall_s : float
            Current Unix time in seconds.
        """
        oldest = int(wall_s // SECONDS_PER_MINUTE) - KEPT_MINUTES + 1
        all_slots = self._slots_by_index.values()
        recent = [slot for slot in all_slots if slot.minute >= oldest]
        return sorted(recent, key=lambda slot: slot.minute)

    def _slot_for(self, wall_s: float) -> MinuteSlot:
        """Return the slot to count in, empty if its minute has just begun."""
        minute = max(int(wall_s // SECONDS_PER_MINUTE), self._newest_minute)
        self._newest_minute = minute
        slot = self._slots_by_index.get(minute % KEPT_MINUTES)
        if slot is None or slot.minute != minute:
            slot = MinuteSlot(minute)
            self._slots_by_index[minute % KEPT_MINUTES] = slot
        return slot


def read_slot(reader: FieldReader) -> MinuteSlot:
    """Read a slot that another process wrote with ``as_json``."""
    return MinuteSlot(
        reader.integer('minute'),
        reader.integer('total'),
        reader.integer('slow'),
        reader.integer('incomplete'),
        _read_counts(reader.child('shards_by_yard')),
        _read_counts(reader.child('missing_by_yard')),
    )


def _read_counts(reader: FieldReader) -> Counter[str]:
    return Counter({name: reader.integer(name) for name in reader.data})
