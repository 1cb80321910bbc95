"""The leafs that may get work, by what the registry says of them."""

from collections.abc import Collection

import attrs
from eliot import log_message

from clementinebank.leafs._record import LeafRecord

# A registration can expire while the registry is away although the leaf
# lives; it is back within about two seconds of the registry's return.
MAX_LAPSE_S = 2.0
# Part of the time in which a leaving leaf must stop to get work that a
# removed registration is still trusted.
MAX_LAPSE_SHARE = 0.6


@attrs.define(eq=False)
class LeafDirectory:
    """Registered leafs of all services.

    A leaf whose registration is removed keeps its work for a moment, because
    the registration may only have lapsed. A drain is final for an
    incarnation.

    Parameters
    ----------
    drain_limit_s : float
        Time after which a leaf that leaves must get no work, in seconds.
    records_by_id : dict of str to LeafRecord
        Newest record of each leaf.
    lapsed_since_by_id : dict of str to float
        Runtime time at which the registration of a leaf was removed.
    """

    drain_limit_s: float
    records_by_id: dict[str, LeafRecord] = attrs.Factory(dict)
    lapsed_since_by_id: dict[str, float] = attrs.Factory(dict)

    @property
    def lapse_s(self) -> float:
        """Return how long a removed registration is trusted, in seconds."""
        return min(MAX_LAPSE_S, MAX_LAPSE_SHARE * self.drain_limit_s)

    def register(self, record: LeafRecord) -> bool:
        """Take a record; return whether it changes what is known."""
        known = self.records_by_id.get(record.leaf_id)
        was_lapsed = self.lapsed_since_by_id.pop(record.leaf_id, None)
        if known is not None and record.order < known.order:
            log_message(
                message_type='leaf:stale_record',
                leaf=record.key,
                sequence=record.sequence,
                known=known.key,
                known_sequence=known.sequence,
            )
            return False
        if known is not None and known.key == record.key and known.is_draining:
            record = attrs.evolve(record, is_draining=True)
        self.records_by_id[record.leaf_id] = record
        if known == record and was_lapsed is None:
            return False
        log_message(
            message_type='leaf:registered',
            leaf=record.key,
            service=record.service,
            data_centre=record.data_centre,
            is_draining=record.is_draining,
        )
        return True

    def remove(self, leaf_id: str, now: float) -> bool:
        """Note that a registration is gone; return whether it was known."""
        if leaf_id not in self.records_by_id:
            return False
        if leaf_id not in self.lapsed_since_by_id:
            self.lapsed_since_by_id[leaf_id] = now
            log_message(message_type='leaf:registration_removed', leaf=leaf_id)
        return True

    def retain(self, leaf_ids: Collection[str], now: float) -> None:
        """Take a complete list: leafs that it lacks are removed."""
        for leaf_id in list(self.records_by_id):
            if leaf_id not in leaf_ids:
                self.remove(leaf_id, now)

    def next_expiry(self) -> float:
        """Return when the next removed leaf is forgotten, or infinity."""
        since = min(self.lapsed_since_by_id.values(), default=float('inf'))
        return since + self.lapse_s

    def expire(self, now: float) -> bool:
        """Forget leafs whose removal is final; return whether any was."""
        expired = [
            leaf_id
            for leaf_id, since in self.lapsed_since_by_id.items()
            if now >= since + self.lapse_s
        ]
        for leaf_id in expired:
            self.lapsed_since_by_id.pop(leaf_id)
            self.records_by_id.pop(leaf_id)
            log_message(message_type='leaf:gone', leaf=leaf_id)
        return bool(expired)
