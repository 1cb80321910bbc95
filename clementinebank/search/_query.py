"""State machine of one search over many shards, without I/O.

Each method that handles an event returns the actions that the caller of the
method must perform.
"""

from typing import cast

import attrs

from clementinebank.dispatch import (
    Action,
    Dispatcher,
    DispatchPolicy,
    Finish,
    Refuse,
    TraceEvent,
)
from clementinebank.document import ServiceSettings
from clementinebank.errors import Execution, Failure, Step
from clementinebank.invariants import check, invariant
from clementinebank.routing import Router
from clementinebank.search._actions import SearchAnswer
from clementinebank.search._admission import check_admission
from clementinebank.search._coverage import Coverage, ShardCoverage
from clementinebank.search._merge import (
    meets_invariants,
    merge_records,
    owned_records,
)
from clementinebank.search._messages import SearchRequest, ShardReply
from clementinebank.search._policies import ANSWER_POLICIES
from clementinebank.search._search_shard import SearchShard
from clementinebank.search._snapshots import PartitionMap, SnapshotCatalogue

# Error code of a leaf that does not serve the requested snapshot.
SNAPSHOT_UNAVAILABLE = 'snapshot_unavailable'
SEARCH_DISPATCH_POLICY = DispatchPolicy()


@invariant('answered-once', 'R3')
def _is_first_answer(is_finished: bool) -> bool:
    return not is_finished


@invariant('not-run-is-true', 'R4')
def _is_not_run_true(execution: Execution, sent: int, not_run: int) -> bool:
    """Return whether ``NOT_RUN`` is stated only if no sent request was run."""
    return execution is not Execution.NOT_RUN or sent == not_run


@attrs.define(eq=False)
class Query:
    """State of one search from its start to its answer.

    The query pins one snapshot and asks one shard for each group of that
    snapshot. If a leaf no longer serves the snapshot, the query can start
    again on another one, but only once.

    Parameters
    ----------
    request : SearchRequest
        What the caller asked.
    service : ServiceSettings
        Settings of the service when the query started.
    router : Router
        Chooses the replicas and holds the budget for extra requests.
    catalogue : SnapshotCatalogue
        Known snapshots, of which the query pins one.
    partition_map : PartitionMap or None
        Map of the pinned snapshot; ``None`` as long as none is pinned.
    is_finished : bool
        Whether the query was answered or refused, or its caller disconnected.
    has_switched_snapshot : bool
        Whether the query has switched to another snapshot.
    """

    request: SearchRequest
    service: ServiceSettings
    router: Router
    catalogue: SnapshotCatalogue
    partition_map: PartitionMap | None = None
    is_finished: bool = False
    has_switched_snapshot: bool = False
    dispatcher: Dispatcher = attrs.field(init=False)
    _shards_by_group: dict[str, SearchShard] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the dispatcher that sends the shard requests."""
        self.dispatcher = Dispatcher(
            self.request, self.router, 0, policy=SEARCH_DISPATCH_POLICY
        )

    @property
    def next_wakeup(self) -> float:
        """Return the monotonic time at which ``on_time`` is due."""
        return min(self.dispatcher.finish_at, self.dispatcher.timers.next_at())

    @property
    def pinned_snapshot(self) -> str:
        """Return the name of the pinned snapshot, empty if none is pinned."""
        return self.partition_map.snapshot if self.partition_map else ''

    @property
    def trace(self) -> list[TraceEvent]:
        """Return the trace events recorded so far."""
        return self.dispatcher.trace_events

    def start(self, now: float) -> list[Action]:
        """Admit or refuse the query, pin a snapshot and ask every shard.

        If no snapshot is known, the query ends at once with an empty answer
        whose coverage states that the partitions are unknown.
        """
        remaining_s = self.request.deadline - now
        plan = ANSWER_POLICIES[self.service.answer_policy](remaining_s)
        self.dispatcher.started_at = now
        self.dispatcher.finish_at = self.request.deadline - plan.reserve_s
        self.dispatcher.max_hedge_delays = plan.max_hedge_delays
        refusal = check_admission(
            self.router,
            self.service.groups_by_id,
            now,
            remaining_s - plan.reserve_s,
        )
        if refusal is not None:
            return self._refuse(refusal, now)
        pinned = self.catalogue.choose_map()
        if pinned is None:
            self.dispatcher.trace(now, 'no_snapshot')
            return self._finish(now)
        return self._pin(pinned, now) + self._finish_if_done(now)

    def on_reply(
        self, attempt_id: str, reply: ShardReply, now: float
    ) -> list[Action]:
        """Store the records of a reply; cancel the shard's other attempts.

        A reply to an attempt that has already ended is ignored. A reply for
        another snapshot or other partitions counts as a failure of the leaf.
        """
        ended = self.dispatcher.end_attempt(attempt_id)
        if self.is_finished or ended is None:
            return []
        shard = cast(SearchShard, ended.shard)
        attempt = ended.attempt
        if not self._is_usable(shard, reply):
            return self._on_mismatched_reply(shard, attempt.leaf_id, now)
        if self.partition_map is not None:
            shard.records = owned_records(reply, shard, self.partition_map)
        shard.reply_snapshot = reply.snapshot
        shard.answered_by = attempt.leaf_id
        self.dispatcher.trace(now, 'reply', leaf=attempt.leaf_id)
        cancels = self.dispatcher.end_shard(shard, now)
        return cancels + self._finish_if_done(now)

    def on_failure(
        self, attempt_id: str, failure: Failure, now: float
    ) -> list[Action]:
        """Retry a shard request that a leaf refused or that failed.

        If the leaf no longer serves the pinned snapshot, the query switches
        to another snapshot where that is possible.
        """
        ended = self.dispatcher.end_attempt(attempt_id)
        if self.is_finished or ended is None:
            return []
        shard, attempt = ended.shard, ended.attempt
        if failure.code == SNAPSHOT_UNAVAILABLE:
            shard.unsuitable_leafs.add(attempt.leaf_id)
            actions = self._switch_snapshot(attempt.leaf_id, now)
            if actions:
                self.dispatcher.record_execution(shard, failure)
                return actions + self._finish_if_done(now)
        retries = self.dispatcher.on_failure(
            shard, attempt.leaf_id, failure, now
        )
        return [*retries, *self._finish_if_done(now)]

    def on_time(self, now: float) -> list[Action]:
        """Send the hedges and retries that are due.

        Once ``finish_at`` of the dispatcher is reached, which is the deadline
        minus the reserve, the query ends with the replies received so far.
        """
        if self.is_finished:
            return []
        if now >= self.dispatcher.finish_at:
            return self._finish(now)
        actions: list[Action] = []
        for shard in self.dispatcher.timers.pop_due(now):
            actions.extend(self.dispatcher.on_due(shard, now))
        return actions + self._finish_if_done(now)

    def abandon(self, now: float) -> list[Action]:
        """Cancel every open attempt because the caller has disconnected."""
        self.is_finished = True
        return self._end_all_shards(now)

    def _pin(self, pinned: PartitionMap, now: float) -> list[Action]:
        """Pin a snapshot and ask one shard for each group in its map.

        Shards of a snapshot that was pinned before are dropped with their
        records. Leafs that do not report the snapshot are not asked.
        """
        self.partition_map = pinned
        self.dispatcher.trace(now, 'pinned', snapshot=pinned.snapshot)
        actions: list[Action] = []
        self._shards_by_group = {}
        for group_id, partitions in pinned.partitions_by_group.items():
            group = self.service.groups_by_id.get(group_id)
            leafs = set(group.leafs_by_id) if group else set()
            shard = SearchShard(
                group_id,
                leafs - pinned.leaf_ids,
                self.has_switched_snapshot,
                partitions=partitions,
                pinned_snapshot=pinned.snapshot,
            )
            self._shards_by_group[group_id] = shard
            actions.extend(self.dispatcher.start_shard(shard, now))
        return actions

    def _switch_snapshot(self, leaf_id: str, now: float) -> list[Action]:
        """Start the whole query again on another snapshot.

        Called when a leaf refuses the pinned snapshot. Returns an empty list
        if the query has switched before or cannot switch.
        """
        refused = self.pinned_snapshot
        self.catalogue.remove_snapshot(leaf_id, refused)
        other = self.catalogue.choose_map()
        if (
            self.has_switched_snapshot
            or other is None
            or not self._admit_switch(other, now)
        ):
            return []
        self.has_switched_snapshot = True
        self.dispatcher.trace(now, 'moved', refused=refused, leaf=leaf_id)
        return self._end_all_shards(now) + self._pin(other, now)

    def _admit_switch(self, other: PartitionMap, now: float) -> bool:
        """Return whether the query can switch, and spend the tokens if so.

        The other snapshot must be complete, every group must have a leaf that
        can answer in the remaining time, and the budget for extra requests
        must hold one token for each group.
        """
        if other.snapshot == self.pinned_snapshot or not other.is_complete:
            return False
        remaining_s = self.dispatcher.finish_at - now
        if not all(
            self.router.has_leaf_in_time(group_id, remaining_s)
            for group_id in other.group_ids
        ):
            return False
        return self.router.budget.spend(
            len(other.group_ids), self.request.request_id
        )

    def _is_usable(self, shard: SearchShard, reply: ShardReply) -> bool:
        """Return whether a reply has the requested snapshot and partitions."""
        return (
            reply.snapshot == self.pinned_snapshot
            and reply.partitions == shard.partitions
        )

    def _on_mismatched_reply(
        self, shard: SearchShard, leaf_id: str, now: float
    ) -> list[Action]:
        """Treat a reply that is not usable as a failure of the leaf."""
        self.router.on_invalid_reply(leaf_id, now)
        failure = Failure(
            'leaf_mismatch',
            'the reply is for another snapshot or other partitions',
            Step.MERGE,
            peer=leaf_id,
            execution=Execution.UNKNOWN,
        )
        actions = self.dispatcher.on_failure(shard, leaf_id, failure, now)
        return actions + self._finish_if_done(now)

    def _finish_if_done(self, now: float) -> list[Action]:
        """End the query if it no longer waits for any shard.

        That is the case when each shard has ended or has passed its
        ``give_up_at``. Otherwise no action is returned.
        """
        for shard in self._shards_by_group.values():
            if not shard.is_ended and now < shard.give_up_at:
                return []
        return self._finish(now)

    def _end_all_shards(self, now: float) -> list[Action]:
        """End every shard and return the cancels of its open attempts."""
        actions: list[Action] = []
        for shard in self._shards_by_group.values():
            actions.extend(self.dispatcher.end_shard(shard, now))
        return actions

    def _finish(self, now: float) -> list[Action]:
        """End the query with an answer or a refusal.

        The query is refused if the answer breaks an invariant, or if shards
        were asked and none of them answered.
        """
        cancels = self._end_all_shards(now)
        shards = self._shards_by_group.values()
        records = merge_records(shards)
        coverage = self._coverage()
        request_id = self.request.request_id
        if not meets_invariants(
            request_id, self.partition_map, shards, records, coverage
        ):
            message = 'the answer violates an invariant and is not sent'
            return cancels + self._refuse_unanswered(
                'untrue_answer', message, now
            )
        if shards and not any(shard.is_answered for shard in shards):
            reasons = sorted({shard.missing_reason for shard in shards})
            return cancels + self._refuse_unanswered(
                'no_shard_answered', ', '.join(reasons), now
            )
        self._end(now, 'answered')
        answer = SearchAnswer(
            request_id,
            self.partition_map.snapshot if self.partition_map else None,
            tuple(records[: self.request.limit]),
            coverage,
        )
        return [*cancels, Finish(answer)]

    def _refuse_unanswered(
        self, code: str, message: str, now: float
    ) -> list[Action]:
        """Refuse the query after its shards were asked."""
        execution = self.dispatcher.execution
        failure = Failure(code, message, Step.MERGE, execution=execution)
        return self._refuse(failure, now)

    def _refuse(self, failure: Failure, now: float) -> list[Action]:
        check(
            'not-run-is-true',
            self.request.request_id,
            execution=failure.execution,
            sent=self.dispatcher.sent_count,
            not_run=self.dispatcher.not_run_count,
        )
        self._end(now, 'refused', reason=failure.code)
        return [Refuse(failure)]

    def _end(self, now: float, event: str, **facts: str) -> None:
        check(
            'answered-once',
            self.request.request_id,
            is_finished=self.is_finished,
        )
        self.is_finished = True
        self.dispatcher.trace(now, event, **facts)

    def _coverage(self) -> Coverage:
        leafs = self.service.leafs_by_id
        shards = {}
        for group_id, shard in self._shards_by_group.items():
            leaf = leafs.get(shard.answered_by or '')
            group = self.service.groups_by_id.get(group_id)
            shards[group_id] = ShardCoverage(
                group_id,
                group.yard if group else '',
                shard.partitions,
                leaf.data_centre if leaf else None,
                None if shard.is_answered else shard.missing_reason,
            )
        shards.update(self._unknown_shards())
        return Coverage(self.partition_map, shards)

    def _unknown_shards(self) -> dict[str, ShardCoverage]:
        """Return the configured groups whose partitions are not known.

        The result is empty if no map is known or the map is complete: a group
        that is missing from a complete map holds no part of the snapshot.
        """
        known = self.partition_map
        if known is None or known.is_complete:
            return {}
        return {
            group_id: ShardCoverage(
                group_id, group.yard, (), None, 'partitions_unknown'
            )
            for group_id, group in self.service.groups_by_id.items()
            if group_id not in self._shards_by_group
        }
