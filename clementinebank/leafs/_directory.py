"""Directory of the leafs that are registered in the service registry."""

from collections.abc import Collection

import attrs
from eliot import log_message

from clementinebank.leafs._departures import Departures
from clementinebank.leafs._record import LeafRecord

# Longest time for which a leaf without registration still gets requests. A
# registration can expire during an outage of the registry although the leaf
# runs; the leaf registers again within about two seconds of the outage's end.
MAX_REMOVAL_GRACE_S = 2.0
# The same bound as a share of the drain limit, the time after which a leaving
# leaf must get no new requests.
MAX_REMOVAL_GRACE_SHARE = 0.6
# Longest time for which a leaf is remembered after its removal, so that an
# older copy of the registry doesn't bring it back.
MAX_COPY_AGE_S = 120.0
# Number of removed leafs that are remembered; each needs about 300 bytes.
MAX_REMEMBERED_LEAFS = 10_000
# Part of the drain limit for the check of the grace period and for the way of
# a request from its choice of a leaf to that leaf.
REQUEST_RESERVE_S = 0.4


@attrs.define(eq=False)
class LeafDirectory:
    """Registered leafs of all services.

    A leaf whose registration is removed is kept for a grace period, because
    the registration may have expired during an outage of the registry. An
    incarnation of a leaf that has been draining stays draining.

    Parameters
    ----------
    drain_limit_s : float
        Time after which a leaving leaf must get no new requests, in seconds.
    records_by_id : dict of str to LeafRecord
        Newest record of each leaf, including those in their grace period.
    removed_at_by_id : dict of str to float
        Runtime time in seconds from which the removal of a registration
        counts, for the leafs in their grace period.
    evacuated_data_centres : frozenset of str
        Data centres whose leafs get no requests, by order of the operators.
    departures : Departures
        Incarnations that have said that they leave.
    """

    drain_limit_s: float
    records_by_id: dict[str, LeafRecord] = attrs.Factory(dict)
    removed_at_by_id: dict[str, float] = attrs.Factory(dict)
    evacuated_data_centres: frozenset[str] = frozenset()
    departures: Departures = attrs.Factory(Departures)
    # Leafs and evacuations that an older copy lacks and that are kept.
    _missing_ids: set[str] = attrs.Factory(set)
    _missing_evacuations: frozenset[str] = frozenset()
    # Last record and time of the removal of leafs that are gone, oldest first.
    _gone_by_id: dict[str, tuple[LeafRecord, float]] = attrs.Factory(dict)

    @property
    def removal_grace_s(self) -> float:
        """Return the grace period of a removed registration in seconds."""
        return min(
            MAX_REMOVAL_GRACE_S, MAX_REMOVAL_GRACE_SHARE * self.drain_limit_s
        )

    @property
    def removal_notice_s(self) -> float:
        """Return the time until a removal must count, in seconds.

        It begins when the registration is known to exist for the last time.
        With the grace period it ends within the drain limit.
        """
        limit_s = self.drain_limit_s - REQUEST_RESERVE_S
        return max(0, limit_s - self.removal_grace_s)

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the leafs of a data centre get no requests."""
        return data_centre in self.evacuated_data_centres

    def evacuate(self, data_centres: Collection[str]) -> None:
        """Replace the data centres that are evacuated, and log each change.

        Parameters
        ----------
        data_centres : collection of str
            All data centres for which the registry has an order. Those whose
            order an older copy lacks stay evacuated until ``forget_missing``.
        """
        self._missing_evacuations -= frozenset(data_centres)
        evacuated = self._missing_evacuations | frozenset(data_centres)
        for begun in sorted(evacuated - self.evacuated_data_centres):
            log_message(message_type='evacuation:begun', data_centre=begun)
        for ended in sorted(self.evacuated_data_centres - evacuated):
            log_message(message_type='evacuation:ended', data_centre=ended)
        self.evacuated_data_centres = evacuated

    def begin_evacuation(self, data_centre: str) -> None:
        """Send nothing more to the leafs of a data centre."""
        self.evacuate(
            self.evacuated_data_centres - self._missing_evacuations
            | {data_centre}
        )

    def end_evacuation(self, data_centre: str) -> None:
        """Send requests to the leafs of a data centre again."""
        self._missing_evacuations -= {data_centre}
        self.evacuate(
            self.evacuated_data_centres
            - self._missing_evacuations
            - {data_centre}
        )

    def on_leaving(
        self, incarnation_id: str, now: float, *, is_told_on: bool
    ) -> bool:
        """Record that an incarnation has said that it leaves.

        Its registration may not be known yet, and may still say otherwise.

        Parameters
        ----------
        incarnation_id : str
            Incarnation that leaves.
        now : float
            Runtime time in seconds.
        is_told_on : bool
            Whether this instance has to tell others.

        Returns
        -------
        bool
            Whether that was not known before.
        """
        is_news = self.departures.add(
            incarnation_id, now, is_told_on=is_told_on
        )
        if not is_news:
            return False
        log_message(
            message_type='leaf:leaving',
            leaf=incarnation_id,
            is_told_on=is_told_on,
        )
        leaf_id = incarnation_id.rpartition('@')[0]
        known = self.records_by_id.get(leaf_id)
        if known is not None and known.incarnation_id == incarnation_id:
            self.records_by_id[leaf_id] = attrs.evolve(known, is_draining=True)
        return True

    def registered_departures(self) -> list[str]:
        """Return the registered incarnations that have said that they leave.

        Others must hear of them as long as the registry doesn't tell.
        """
        return [
            incarnation_id
            for incarnation_id in self.departures.heard_at_by_incarnation
            if self._is_registered(incarnation_id)
        ]

    def _is_registered(self, incarnation_id: str) -> bool:
        leaf_id = incarnation_id.rpartition('@')[0]
        record = self.records_by_id.get(leaf_id)
        return record is not None and record.incarnation_id == incarnation_id

    def data_centre_of(self, incarnation_id: str) -> str:
        """Return the data centre of a leaf, empty if it isn't known."""
        leaf_id = incarnation_id.rpartition('@')[0]
        record = self.records_by_id.get(leaf_id)
        return record.data_centre if record else ''

    def register(self, record: LeafRecord) -> bool:
        """Store the record of a leaf unless a newer one is known.

        In both cases the grace period of the leaf ends.

        Returns
        -------
        bool
            Whether the known record changed or the leaf was in its grace
            period; false for an outdated record.
        """
        known = self.records_by_id.get(record.leaf_id)
        previously_removed_at = self.removed_at_by_id.pop(record.leaf_id, None)
        self._missing_ids.discard(record.leaf_id)
        if known is not None and record.sort_key < known.sort_key:
            log_message(
                message_type='leaf:stale_record',
                leaf=record.incarnation_id,
                sequence=record.sequence,
                known=known.incarnation_id,
                known_sequence=known.sequence,
            )
            return False
        was_draining = (
            known is not None
            and known.incarnation_id == record.incarnation_id
            and known.is_draining
        )
        if was_draining or record.incarnation_id in self.departures:
            record = attrs.evolve(record, is_draining=True)
        self.records_by_id[record.leaf_id] = record
        self._gone_by_id.pop(record.leaf_id, None)
        if known == record and previously_removed_at is None:
            return False
        log_message(
            message_type='leaf:registered',
            leaf=record.incarnation_id,
            service=record.service,
            data_centre=record.data_centre,
            is_draining=record.is_draining,
        )
        return True

    def remove(self, leaf_id: str, now: float) -> bool:
        """Start the grace period of a leaf whose registration is removed.

        Parameters
        ----------
        leaf_id : str
            Id of the leaf.
        now : float
            Runtime time in seconds from which the removal counts.

        Returns
        -------
        bool
            Whether the leaf is known; a grace period that has begun before
            isn't extended.
        """
        if leaf_id not in self.records_by_id:
            return False
        self._missing_ids.discard(leaf_id)
        if leaf_id not in self.removed_at_by_id:
            self.removed_at_by_id[leaf_id] = now
            log_message(message_type='leaf:registration_removed', leaf=leaf_id)
        return True

    def retain(self, leaf_ids: Collection[str], now: float) -> None:
        """Remove the leafs that a complete list of registrations lacks.

        Parameters
        ----------
        leaf_ids : collection of str
            Ids of all leafs that are registered.
        now : float
            Runtime time in seconds from which the removals count.
        """
        for leaf_id in list(self.records_by_id):
            if leaf_id not in leaf_ids and leaf_id not in self._missing_ids:
                self.remove(leaf_id, now)

    def restore(
        self, records: Collection[LeafRecord], evacuated: Collection[str]
    ) -> set[str]:
        """Apply the registrations of a registry that is back from a copy.

        A leaf that was removed isn't used again on the word of the copy alone.
        Leafs and evacuations that the copy lacks stay until ``forget_missing``,
        so that they can be written again.

        Parameters
        ----------
        records : collection of LeafRecord
            All registrations of the copy.
        evacuated : collection of str
            Data centres whose evacuation the copy orders.

        Returns
        -------
        set of str
            Ids of the leafs whose registrations aren't applied, since they
            were removed.
        """
        ignored_ids = {
            each.leaf_id for each in records if self._is_removed(each)
        }
        for record in records:
            if record.leaf_id not in ignored_ids:
                self.register(record)
        copied_ids = {each.leaf_id for each in records}
        self._missing_ids = (
            self.records_by_id.keys()
            - copied_ids
            - self.removed_at_by_id.keys()
        )
        self._missing_evacuations |= self.evacuated_data_centres
        self.evacuate(evacuated)
        if ignored_ids:
            log_message(
                message_type='leaf:removed_before_copy',
                leafs=sorted(ignored_ids),
            )
        return ignored_ids

    def forget_missing(self, now: float) -> None:
        """Drop the leafs and evacuations that weren't written again.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        """
        for leaf_id in self._missing_ids:
            self._forget(leaf_id, now)
        self._missing_ids.clear()
        stored = self.evacuated_data_centres - self._missing_evacuations
        self._missing_evacuations = frozenset()
        self.evacuate(stored)

    def _is_removed(self, record: LeafRecord) -> bool:
        """Return whether a record isn't later than the removal of its leaf."""
        if record.leaf_id in self.removed_at_by_id:
            last = self.records_by_id[record.leaf_id]
        elif record.leaf_id in self._gone_by_id:
            last, _ = self._gone_by_id[record.leaf_id]
        else:
            return False
        return record.sort_key <= last.sort_key

    def next_expiry_at(self) -> float:
        """Return when the next grace period ends; infinity if there is none."""
        first_removed_at = min(
            self.removed_at_by_id.values(), default=float('inf')
        )
        return first_removed_at + self.removal_grace_s

    def expire(self, now: float) -> bool:
        """Delete leafs past their grace period; return whether any was."""
        expired = [
            leaf_id
            for leaf_id, removed_at in self.removed_at_by_id.items()
            if now >= removed_at + self.removal_grace_s
        ]
        for leaf_id in expired:
            self.removed_at_by_id.pop(leaf_id)
            self._forget(leaf_id, now)
        return bool(expired)

    def _forget(self, leaf_id: str, now: float) -> None:
        record = self.records_by_id.pop(leaf_id)
        self._gone_by_id.pop(leaf_id, None)
        self._gone_by_id[leaf_id] = (record, now)
        self._forget_gone(now)
        self.departures.forget_unknown_start(record.incarnation_id)
        log_message(message_type='leaf:gone', leaf=leaf_id)

    def _forget_gone(self, now: float) -> None:
        """Forget leafs that were removed before any copy, and the oldest."""
        while self._gone_by_id:
            leaf_id, (_, gone_at) = next(iter(self._gone_by_id.items()))
            is_old = gone_at < now - MAX_COPY_AGE_S
            if not is_old and len(self._gone_by_id) <= MAX_REMEMBERED_LEAFS:
                return
            self._gone_by_id.pop(leaf_id)
