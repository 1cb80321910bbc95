"""Choice of the replica that gets a shard request."""

from collections.abc import Collection
from math import inf

from clementinebank.placement import PlacementOption
from clementinebank.routing._leaf_state import LeafState
from clementinebank.routing._replicas import Replicas

MS_PER_S = 1000
# Slots of each leaf that a request which can wait leaves to other instances.
# Waiting in this instance costs nothing, whereas a request that a full leaf
# refuses is retried, which costs a token of the extra-load budget.
SLOTS_FOR_OTHER_INSTANCES = 1


class ReplicaChoice(Replicas):
    """Choice among the replicas by their expected times."""

    __slots__ = ()

    def choose(
        self,
        group_id: str,
        now: float,
        excluded: Collection[str] = (),
        remaining_s: float = inf,
        *,
        may_wait: bool = False,
        is_extra: bool = False,
        is_repeated: bool = False,
    ) -> str | None:
        """Return the id of the replica that should get the next request.

        The nearest leaf with room is compared with randomly chosen ones, and
        the one with the shortest expected time is returned.

        Parameters
        ----------
        group_id : str
            Group of the shard.
        now : float
            Runtime time in seconds.
        excluded : collection of str
            Leafs that may not be chosen.
        remaining_s : float
            Time left in seconds; a leaf whose round trip alone takes as long
            is not chosen.
        may_wait : bool
            Whether the request can wait. It then leaves a slot of each leaf
            to other instances, and gets ``None`` if a busy leaf is expected
            to answer before those that have room.
        is_extra : bool
            Whether another leaf has the request already. It is then not sent
            to a leaf that names a rate limit.
        is_repeated : bool
            Whether the choice was made before for the same request and found
            no leaf. It then adds no demand to a leaf that names a rate limit.

        Returns
        -------
        str or None
            Leaf id; ``None`` if no leaf has room or waiting is faster.
        """
        usable = [
            leaf
            for leaf in self._usable_leafs(group_id, remaining_s)
            if leaf.leaf_id not in excluded
            and not leaf.is_turned_away(now)
            and not (is_extra and self.is_limited(leaf.leaf_id, now))
        ]
        eligible = [leaf for leaf in usable if self._may_get_request(leaf, now)]
        max_own_slots = max(1, self.service.slots - SLOTS_FOR_OTHER_INSTANCES)
        limit = max_own_slots if may_wait else inf
        # If no leaf is eligible, the request goes to one of the others, so that
        # the group still answers.
        candidates = eligible or usable
        with_room = [leaf for leaf in candidates if leaf.has_room(now, limit)]
        if not with_room and self.policy.avoids_overtaken_leafs:
            with_room = [leaf for leaf in usable if leaf.has_room(now)]
        if not with_room:
            return None
        with_room = self._permitted(group_id, with_room, now)
        chosen = self._cheapest_of_sample(with_room, now)
        if not self.may_send(chosen.leaf_id, now):
            with_room = self._with_token(with_room, usable, now)
            if not is_repeated:
                self.limits.on_missed(
                    self.limit_key(chosen.leaf_id, now),
                    now,
                    is_waiting=not with_room,
                )
            if not with_room:
                return None
            chosen = self._cheapest_of_sample(with_room, now)
        if may_wait and self._is_wait_shorter(chosen, candidates, now):
            return None
        return chosen.leaf_id

    def refusal_wait_s(
        self,
        group_id: str,
        leaf_id: str,
        excluded: Collection[str],
        now: float,
    ) -> float | None:
        """Return how long to wait before a leaf that refused is tried again.

        Waiting can be faster than another replica: a near leaf with few slots
        often refuses, but only for a moment, while a request to a far replica
        takes a round trip between data centres.

        Parameters
        ----------
        group_id : str
            Group of the shard.
        leaf_id : str
            Leaf that refused.
        excluded : collection of str
            Leafs that may not be chosen instead.
        now : float
            Runtime time in seconds.

        Returns
        -------
        float or None
            Seconds to wait; ``None`` if another replica is expected to answer
            sooner, or the leaf refused repeatedly or wants nothing for a time.
        """
        refusing = self.leafs_by_id.get(leaf_id)
        wait_s = refusing.refusal_wait_s() if refusing else None
        if refusing is None or wait_s is None or refusing.is_turned_away(now):
            return None
        alternatives_s = [
            leaf.average_reply_s
            for leaf in self._usable_leafs(group_id, inf)
            if not leaf.is_ejected
            and leaf is not refusing
            and not leaf.is_turned_away(now)
            and leaf.leaf_id not in excluded
        ]
        expected_s = refusing.average_reply_s + wait_s
        return wait_s if expected_s < min(alternatives_s, default=inf) else None

    def probe_target(self, group_id: str, now: float) -> str | None:
        """Return the id of an ejected replica to probe now, or ``None``."""
        if self.policy.avoids_overtaken_leafs:
            # An ordinary request tests the leaf instead of a probe, see
            # `_may_get_request`; it is hedged if the leaf is slow.
            return None
        for leaf in self._usable_leafs(group_id, inf):
            is_free = leaf.in_flight == 0 and leaf.is_probe_due(now)
            if leaf.is_turned_away(now):
                continue
            if is_free and not self.is_limited(leaf.leaf_id, now):
                return leaf.leaf_id
        return None

    def has_leaf_in_time(
        self, group_id: str, remaining_s: float, excluded: Collection[str] = ()
    ) -> bool:
        """Return whether the group has a replica that can answer in time.

        Parameters
        ----------
        group_id : str
            Group of the shard.
        remaining_s : float
            Time left in seconds.
        excluded : collection of str
            Leafs that may not be chosen.
        """
        return any(
            leaf.min_reply_s < remaining_s
            for leaf in self._usable_leafs(group_id, remaining_s)
            if leaf.leaf_id not in excluded
        )

    def turned_away_s(
        self, group_id: str, now: float, excluded: Collection[str] = ()
    ) -> float:
        """Return how long all leafs of a group turn requests away.

        Parameters
        ----------
        group_id : str
            Group of the shard.
        now : float
            Runtime time in seconds.
        excluded : collection of str
            Leafs that may not be chosen.

        Returns
        -------
        float
            Seconds until the first of them wants requests again; 0 if one does
            now, or there is none.
        """
        if now >= self._turned_away_until:
            return 0
        ends = [
            leaf.turned_away_until
            for leaf in self._usable_leafs(group_id, inf)
            if leaf.leaf_id not in excluded
        ]
        return max(0, min(ends, default=now) - now)

    def expected_wait_s(self, group_id: str, now: float) -> float:
        """Return how long a new request will wait for a free leaf, in seconds.

        The requests that already wait are divided by the rate at which the
        leafs of the group answer; the result is 0 if none waits.
        """
        waiting = self.waiting_by_group.get(group_id, 0)
        leafs = self._usable_leafs(group_id, inf)
        if not waiting or not leafs:
            return 0
        calls_per_s = sum(
            max(1, leaf.limit) / (leaf.round_trip_s + leaf.service_s)
            for leaf in leafs
        )
        return waiting / calls_per_s

    def choice_trace_fields(self, leaf_id: str) -> dict[str, float]:
        """Return the trace fields that explain the choice of a leaf.

        The result is empty for an unknown leaf.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return {}
        return {
            'cost_ms': round(leaf.cost_s * MS_PER_S, 1),
            'in_flight': leaf.in_flight,
        }

    def _with_token(
        self, with_room: list[LeafState], usable: list[LeafState], now: float
    ) -> list[LeafState]:
        """Return the leafs to which their rate limits permit a request.

        If they permit none of the leafs with room, the request goes to one that
        is usually avoided, as it does if the others are ejected.
        """
        may_send = self.may_send
        return [leaf for leaf in with_room if may_send(leaf.leaf_id, now)] or [
            leaf
            for leaf in usable
            if leaf.has_room(now) and may_send(leaf.leaf_id, now)
        ]

    def _permitted(
        self, group_id: str, with_room: list[LeafState], now: float
    ) -> list[LeafState]:
        """Return the leafs with room that the placement permits."""
        if self.placement is None:
            return with_room
        options = [
            PlacementOption(
                leaf.leaf_id,
                self.prices_by_leaf.get(leaf.leaf_id, 0),
                leaf.cost_s,
                leaf.unserved_share(now),
            )
            for leaf in with_room
        ]
        permitted = self.placement.permitted(group_id, options, now)
        permitted_ids = {option.leaf_id for option in permitted}
        return [leaf for leaf in with_room if leaf.leaf_id in permitted_ids]

    def _cheapest_of_sample(
        self, with_room: list[LeafState], now: float
    ) -> LeafState:
        """Return the leaf of least cost among a nearest and a few random ones.

        Paused leafs, and cold ones that the slow start holds back, are
        considered only if no others are left.
        """
        # A cold leaf passes with a probability that rises during slow start.
        passed = [
            leaf
            for leaf in with_room
            if leaf.cold_since is None
            or self.rng.random() < leaf.slow_start_share(now)
        ]
        unpaused = [leaf for leaf in passed if not leaf.is_paused(now)]
        choices = unpaused or passed or with_room
        # One candidate is always a nearest leaf, so that the local data centre
        # is always considered; the others are random.
        nearest_s = min(leaf.delay_s for leaf in choices)
        nearest = [leaf for leaf in choices if leaf.delay_s == nearest_s]
        nearest_leaf = self.rng.choice(nearest)
        others = [leaf for leaf in choices if leaf is not nearest_leaf]
        if not others:
            return nearest_leaf
        sample_size = min(len(others), self.policy.random_candidates)
        candidates = [nearest_leaf, *self.rng.sample(others, sample_size)]
        return min(
            candidates, key=lambda leaf: self._expected_cost_s(leaf, now)
        )

    def _expected_cost_s(self, leaf: LeafState, now: float) -> float:
        """Return the cost of a leaf in seconds.

        It includes the slowness of its machine and, if the policy avoids
        overtaken leafs, the penalty for unserved calls.
        """
        cost_s = leaf.cost_s + leaf.slowness_cost_s(now)
        if self.policy.avoids_overtaken_leafs:
            return cost_s + leaf.unserved_penalty_s(now)
        return cost_s

    def _is_wait_shorter(
        self, chosen: LeafState, candidates: list[LeafState], now: float
    ) -> bool:
        """Return whether a busy leaf is expected to answer before `chosen`."""
        return any(
            leaf.cost_s < chosen.cost_s
            for leaf in candidates
            if leaf.in_flight and not leaf.is_paused(now)
        )

    def _may_get_request(self, leaf: LeafState, now: float) -> bool:
        """Return whether an ordinary request may be sent to the leaf.

        It is false for an ejected leaf. If the policy avoids overtaken leafs,
        it is true for an ejected leaf that is due for a trial, and false for
        every leaf with an overtaken call.
        """
        if not self.policy.avoids_overtaken_leafs:
            return not leaf.is_ejected
        if leaf.has_overtaken_call:
            return False
        return not leaf.is_ejected or leaf.may_send_trial(now)
