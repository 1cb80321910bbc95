"""The query aggregate: one caller request over many shards, without I/O."""

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
from clementinebank.search._actions import Answer
from clementinebank.search._admission import refuse_admission
from clementinebank.search._coverage import Coverage, ShardCoverage
from clementinebank.search._merge import is_truthful, merge, owned_records
from clementinebank.search._messages import SearchRequest, ShardReply
from clementinebank.search._policies import ANSWER_POLICIES
from clementinebank.search._search_shard import SearchShard
from clementinebank.search._snapshots import PartitionMap, SnapshotCatalogue

SNAPSHOT_UNAVAILABLE = 'snapshot_unavailable'
SEARCH_DISPATCH = DispatchPolicy()


@invariant('answered-once', 'R3')
def _is_first_answer(is_finished: bool) -> bool:
    return not is_finished


@invariant('not-run-is-true', 'R4')
def _is_not_run_true(execution: Execution, sent: int, not_run: int) -> bool:
    return execution is not Execution.NOT_RUN or sent == not_run


@attrs.define(eq=False)
class Query:
    """State of one search from its start to its answer.

    Parameters
    ----------
    request : SearchRequest
        What the caller asked.
    service : ServiceSettings
        Settings of the service when the query started.
    router : Router
        Chooses the replicas.
    catalogue : SnapshotCatalogue
        Snapshots from which one is pinned.
    """

    request: SearchRequest
    service: ServiceSettings
    router: Router
    catalogue: SnapshotCatalogue
    partition_map: PartitionMap | None = None
    is_finished: bool = False
    is_moved: bool = False
    dispatcher: Dispatcher = attrs.field(init=False)
    _shards_by_group: dict[str, SearchShard] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the part that sends the shard requests."""
        self.dispatcher = Dispatcher(
            self.request, self.router, 0, policy=SEARCH_DISPATCH
        )

    @property
    def next_wakeup(self) -> float:
        """Return the runtime time at which ``on_time`` is due."""
        return min(self.dispatcher.finish_at, self.dispatcher.timers.next_at())

    @property
    def pinned_snapshot(self) -> str:
        """Return the name of the pinned snapshot, empty before."""
        return self.partition_map.snapshot if self.partition_map else ''

    @property
    def trace(self) -> list[TraceEvent]:
        """Return the events of the query so far."""
        return self.dispatcher.trace_events

    def start(self, now: float) -> list[Action]:
        """Admit the query, pin a snapshot and ask every shard."""
        remaining_s = self.request.deadline - now
        plan = ANSWER_POLICIES[self.service.answer_policy](remaining_s)
        self.dispatcher.started_at = now
        self.dispatcher.finish_at = self.request.deadline - plan.reserve_s
        self.dispatcher.patience = plan.patience
        refusal = refuse_admission(
            self.router,
            self.service.groups_by_id,
            now,
            remaining_s - plan.reserve_s,
        )
        if refusal is not None:
            return self._refuse(refusal, now)
        pinned = self.catalogue.newest()
        if pinned is None:
            self.dispatcher.trace(now, 'no_snapshot')
            return self._finish(now)
        return self._pin(pinned, now) + self._finish_if_done(now)

    def on_reply(
        self, attempt_id: str, reply: ShardReply, now: float
    ) -> list[Action]:
        """Take the reply of a leaf; the first one of a shard wins."""
        ended = self.dispatcher.end_attempt(attempt_id)
        if self.is_finished or ended is None:
            return []
        shard = cast(SearchShard, ended.shard)
        attempt = ended.attempt
        if not self._is_usable(shard, reply):
            return self._take_invalid(shard, attempt.leaf_id, now)
        if self.partition_map is not None:
            shard.records = owned_records(reply, shard, self.partition_map)
        shard.snapshot = reply.snapshot
        shard.answered_by = attempt.leaf_id
        self.dispatcher.trace(now, 'reply', leaf=attempt.leaf_id)
        cancels = self.dispatcher.settle(shard, now)
        return cancels + self._finish_if_done(now)

    def on_failure(
        self, attempt_id: str, failure: Failure, now: float
    ) -> list[Action]:
        """Take the failure or the refusal of a shard request."""
        ended = self.dispatcher.end_attempt(attempt_id)
        if self.is_finished or ended is None:
            return []
        shard, attempt = ended.shard, ended.attempt
        if failure.code == SNAPSHOT_UNAVAILABLE:
            shard.unserving.add(attempt.leaf_id)
            actions = self._leave_snapshot(attempt.leaf_id, now)
            if actions:
                self.dispatcher.record_execution(shard, failure)
                return actions + self._finish_if_done(now)
        retries = self.dispatcher.on_failed(
            shard, attempt.leaf_id, failure, now
        )
        return [*retries, *self._finish_if_done(now)]

    def on_time(self, now: float) -> list[Action]:
        """Hedge and retry what is due; answer when the time is up."""
        if self.is_finished:
            return []
        if now >= self.dispatcher.finish_at:
            return self._finish(now)
        actions: list[Action] = []
        for shard in self.dispatcher.timers.pop_due(now):
            actions.extend(self.dispatcher.on_due(shard, now))
        return actions + self._finish_if_done(now)

    def abandon(self, now: float) -> list[Action]:
        """Cancel everything because the caller is gone."""
        self.is_finished = True
        return self._settle_all(now)

    def _pin(self, pinned: PartitionMap, now: float) -> list[Action]:
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
                self.is_moved,
                partitions=partitions,
                pinned_snapshot=pinned.snapshot,
            )
            self._shards_by_group[group_id] = shard
            actions.extend(self.dispatcher.open(shard, now))
        return actions

    def _leave_snapshot(self, leaf_id: str, now: float) -> list[Action]:
        """Move the whole query once, or return nothing if it must stay."""
        refused = self.pinned_snapshot
        self.catalogue.withdraw(leaf_id, refused)
        other = self.catalogue.newest()
        if self.is_moved or other is None or not self._may_move(other, now):
            return []
        self.is_moved = True
        self.dispatcher.trace(now, 'moved', refused=refused, leaf=leaf_id)
        return self._settle_all(now) + self._pin(other, now)

    def _may_move(self, other: PartitionMap, now: float) -> bool:
        """Return whether time and budget permit; takes the tokens."""
        if other.snapshot == self.pinned_snapshot or not other.is_complete:
            return False
        remaining_s = self.dispatcher.finish_at - now
        if not all(
            self.router.has_leaf(group_id, remaining_s)
            for group_id in other.group_ids
        ):
            return False
        return self.router.budget.take(
            len(other.group_ids), self.request.request_id
        )

    def _is_usable(self, shard: SearchShard, reply: ShardReply) -> bool:
        return (
            reply.snapshot == self.pinned_snapshot
            and reply.partitions == shard.partitions
        )

    def _take_invalid(
        self, shard: SearchShard, leaf_id: str, now: float
    ) -> list[Action]:
        """Count a reply to another question as a failure of the leaf."""
        self.router.on_invalid_reply(leaf_id, now)
        failure = Failure(
            'leaf_mismatch',
            'the leaf answered another request',
            Step.MERGE,
            peer=leaf_id,
            execution=Execution.UNKNOWN,
        )
        actions = self.dispatcher.on_failed(shard, leaf_id, failure, now)
        return actions + self._finish_if_done(now)

    def _finish_if_done(self, now: float) -> list[Action]:
        for shard in self._shards_by_group.values():
            if not shard.is_settled and now < shard.hopeless_at:
                return []
        return self._finish(now)

    def _settle_all(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for shard in self._shards_by_group.values():
            actions.extend(self.dispatcher.settle(shard, now))
        return actions

    def _finish(self, now: float) -> list[Action]:
        cancels = self._settle_all(now)
        shards = self._shards_by_group.values()
        records = merge(shards)
        coverage = self._coverage()
        request_id = self.request.request_id
        if not is_truthful(
            request_id, self.partition_map, shards, records, coverage
        ):
            message = 'the answer broke an invariant and is withheld'
            return cancels + self._refuse_unanswered(
                'untrue_answer', message, now
            )
        if shards and not any(shard.is_answered for shard in shards):
            reasons = sorted({shard.missing_reason for shard in shards})
            return cancels + self._refuse_unanswered(
                'no_shard_answered', ', '.join(reasons), now
            )
        self._end(now, 'answered')
        answer = Answer(
            request_id,
            self.partition_map.snapshot if self.partition_map else None,
            tuple(records[: self.request.limit]),
            coverage,
        )
        return [*cancels, Finish(answer)]

    def _refuse_unanswered(
        self, code: str, message: str, now: float
    ) -> list[Action]:
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

        With a complete map such a group holds no part of the snapshot.
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
