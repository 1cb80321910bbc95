"""State of the shards of one request."""

import heapq
from itertools import count

import attrs

from clementinebank.dispatch._actions import SendCall


@attrs.frozen
class Attempt:
    """One request to a leaf that has not ended."""

    attempt_id: str
    leaf_id: str
    sent_at: float


@attrs.define(eq=False)
class Shard:
    """One group of replicas of which one has to answer.

    Parameters
    ----------
    group_id : str
        The group.
    unserving : set of str
        Leafs of the group that must not be asked.
    is_moved : bool
        Whether the request asked the group before and starts again.
    """

    group_id: str
    unserving: set[str] = attrs.Factory(set)
    is_moved: bool = False
    attempts_by_id: dict[str, Attempt] = attrs.Factory(dict)
    failed: set[str] = attrs.Factory(set)
    sent_count: int = 0
    not_run_count: int = 0
    unsent_count: int = 0
    hedge_count: int = 0
    is_hedge_denied: bool = False
    is_waiting: bool = False
    is_settled: bool = False
    due_at: float = 0
    patient_until: float = 0
    hopeless_at: float = float('inf')
    answered_by: str | None = None
    missing_reason: str = 'no answer within the deadline'

    @property
    def is_answered(self) -> bool:
        """Return whether the shard answered."""
        return self.answered_by is not None

    @property
    def excluded(self) -> set[str]:
        """Return the leafs that must not get the next request."""
        asked = {each.leaf_id for each in self.attempts_by_id.values()}
        return asked | self.failed | self.unserving

    def create_send(self, attempt_id: str, leaf_id: str) -> SendCall:
        """Return the action that sends one attempt to a leaf."""
        return SendCall(attempt_id, self.group_id, leaf_id)


@attrs.define(eq=False)
class Timers:
    """Times at which shards need attention."""

    _entries: list[tuple[float, int, Shard]] = attrs.Factory(list)
    _numbers: count = attrs.Factory(count)

    def add(self, at: float, shard: Shard) -> None:
        """Ask for attention to a shard at a runtime time in seconds."""
        heapq.heappush(self._entries, (at, next(self._numbers), shard))

    def next_at(self) -> float:
        """Return the next time, infinity for none."""
        while self._entries and self._entries[0][2].is_settled:
            heapq.heappop(self._entries)
        return self._entries[0][0] if self._entries else float('inf')

    def pop_due(self, now: float) -> list[Shard]:
        """Remove and return the shards that are due."""
        due = []
        while self.next_at() <= now:
            due.append(heapq.heappop(self._entries)[2])
        return due
