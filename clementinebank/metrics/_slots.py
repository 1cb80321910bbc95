"""Per-minute counts of the answers of one service."""

from collections import Counter
from typing import Any

import attrs

from clementinebank.validation import FieldReader

SECONDS_PER_MINUTE = 60
# Six hours, the longest window of the burn report, and the running minute.
SLOT_COUNT = 361


@attrs.define
class MinuteSlot:
    """Counts of one minute.

    Parameters
    ----------
    minute : int
        Minutes since the Unix epoch.
    total : int
        Answered requests and failures of this system.
    slow : int
        Of these, later than the latency objective, or failed.
    incomplete : int
        Of these, not complete, or failed.
    shards_by_yard, missing_by_yard : Counter
        Shards asked and missing, by yard.
    """

    minute: int
    total: int = 0
    slow: int = 0
    incomplete: int = 0
    shards_by_yard: Counter[str] = attrs.Factory(Counter)
    missing_by_yard: Counter[str] = attrs.Factory(Counter)

    def as_json(self) -> dict[str, Any]:
        """Return the slot for an operator route."""
        return attrs.asdict(self)


@attrs.frozen
class AnswerFacts:
    """What the objectives need to know of one request.

    Parameters
    ----------
    is_slow, is_incomplete : bool
        Whether the request spends from the budget of an objective.
    shards_by_yard, missing_by_yard : dict of str to int
        Shards asked and missing, by yard.
    """

    is_slow: bool
    is_incomplete: bool
    shards_by_yard: dict[str, int] = attrs.Factory(dict)
    missing_by_yard: dict[str, int] = attrs.Factory(dict)


@attrs.define
class SlotRing:
    """Ring buffer of the last minutes of one service."""

    _slots_by_index: dict[int, MinuteSlot] = attrs.Factory(dict)
    _newest_minute: int = 0

    def record(self, wall_s: float, facts: AnswerFacts) -> None:
        """Count one request.

        A clock that was set back counts in the newest minute, so that no
        slot is started again.
        """
        slot = self._slot_at(wall_s)
        slot.total += 1
        slot.slow += int(facts.is_slow)
        slot.incomplete += int(facts.is_incomplete)
        slot.shards_by_yard.update(facts.shards_by_yard)
        slot.missing_by_yard.update(facts.missing_by_yard)

    def slots(self, wall_s: float) -> list[MinuteSlot]:
        """Return the slots of the last six hours, oldest first."""
        oldest = int(wall_s // SECONDS_PER_MINUTE) - SLOT_COUNT + 1
        every = self._slots_by_index.values()
        kept = [slot for slot in every if slot.minute >= oldest]
        return sorted(kept, key=lambda slot: slot.minute)

    def _slot_at(self, wall_s: float) -> MinuteSlot:
        minute = max(int(wall_s // SECONDS_PER_MINUTE), self._newest_minute)
        self._newest_minute = minute
        slot = self._slots_by_index.get(minute % SLOT_COUNT)
        if slot is None or slot.minute != minute:
            slot = MinuteSlot(minute)
            self._slots_by_index[minute % SLOT_COUNT] = slot
        return slot


def read_slot(reader: FieldReader) -> MinuteSlot:
    """Read the slot of another process."""
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
