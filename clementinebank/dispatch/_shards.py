"""State of the shards of one request, and their timers."""

import heapq
from itertools import count

import attrs

from clementinebank.dispatch._actions import SendCall


@attrs.frozen
class Attempt:
    """Call to a leaf that has not ended.

    Parameters
    ----------
    attempt_id, leaf_id : str
        Id of the call and the leaf that is called.
    sent_at, overdue_at : float
        Runtime times in seconds at which the call was sent and at which it has
        outlasted its hedge delay.
    """

    attempt_id: str
    leaf_id: str
    sent_at: float
    overdue_at: float


@attrs.define(eq=False)
class Shard:
    """State of a group of replicas of which one has to answer.

    Parameters
    ----------
    group_id : str
        Id of the group.
    unsuitable_leafs : set of str
        Leafs of the group that must never be called, for example because they
        do not serve the pinned snapshot.
    is_resent : bool
        Whether the query has moved to another snapshot and starts again. It
        then paid for this shard and adds no tokens to the budget.
    attempts_by_id : dict of str to Attempt
        Attempts that have not ended.
    failed_leafs : set of str
        Leafs that refused or failed since the shard last waited.
    sent_count : int
        Calls sent so far.
    not_run_count : int
        Calls of which is known that no leaf ran them.
    unsent_count : int
        Calls among these that failed before they were sent.
    hedge_count : int
        Hedges sent so far.
    is_hedge_denied : bool
        Whether the trace has a denied hedge of the shard.
    is_waiting : bool
        Whether the shard waits for a free leaf or a token.
    is_ended : bool
        Whether the shard was answered or given up.
    due_at : float
        Runtime time in seconds of the next retry or hedge.
    local_wait_until : float
        Runtime time in seconds until which slots are left to other instances.
    give_up_at : float
        Runtime time in seconds after which the request need not wait for the
        shard, infinity before the first send.
    answered_by : str or None
        Leaf that answered.
    missing_reason : str
        Why the shard has no answer.
    """

    group_id: str
    unsuitable_leafs: set[str] = attrs.Factory(set)
    is_resent: bool = False
    attempts_by_id: dict[str, Attempt] = attrs.Factory(dict)
    failed_leafs: set[str] = attrs.Factory(set)
    sent_count: int = 0
    not_run_count: int = 0
    unsent_count: int = 0
    hedge_count: int = 0
    is_hedge_denied: bool = False
    is_waiting: bool = False
    is_ended: bool = False
    due_at: float = 0
    local_wait_until: float = 0
    give_up_at: float = float('inf')
    answered_by: str | None = None
    missing_reason: str = 'no answer within the deadline'

    @property
    def is_answered(self) -> bool:
        """Return whether the shard answered."""
        return self.answered_by is not None

    @property
    def excluded_leafs(self) -> set[str]:
        """Return the leafs that must not get the next attempt."""
        called = {each.leaf_id for each in self.attempts_by_id.values()}
        return called | self.failed_leafs | self.unsuitable_leafs

    def create_send(self, attempt_id: str, leaf_id: str) -> SendCall:
        """Return the action that sends one attempt to a leaf."""
        return SendCall(attempt_id, self.group_id, leaf_id)


@attrs.define(eq=False)
class Timers:
    """Priority queue of the times at which shards are due."""

    _entries: list[tuple[float, int, Shard]] = attrs.Factory(list)
    # Orders entries of the same time, because shards cannot be compared.
    _sequence_numbers: count = attrs.Factory(count)

    def add(self, at: float, shard: Shard) -> None:
        """Add a runtime time in seconds at which the shard is due."""
        heapq.heappush(self._entries, (at, next(self._sequence_numbers), shard))

    def next_at(self) -> float:
        """Return the earliest time of a shard that has not ended.

        Infinity if there is none. Entries of ended shards are removed from the
        front.
        """
        while self._entries and self._entries[0][2].is_ended:
            heapq.heappop(self._entries)
        return self._entries[0][0] if self._entries else float('inf')

    def pop_due(self, now: float) -> list[Shard]:
        """Remove the entries up to `now` and return their shards in order."""
        due = []
        while self.next_at() <= now:
            due.append(heapq.heappop(self._entries)[2])
        return due
