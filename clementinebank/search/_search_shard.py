"""A shard of a search, pinned to one snapshot."""

import attrs

from clementinebank.dispatch import SendCall, Shard
from clementinebank.search._actions import SendShard
from clementinebank.search._messages import Record


@attrs.define(eq=False)
class SearchShard(Shard):
    """One shard of the pinned snapshot.

    Parameters
    ----------
    partitions : tuple of int
        Partitions asked.
    pinned_snapshot : str
        Snapshot that is asked.
    records : tuple of Record or None
        Records of the reply, ``None`` without one.
    snapshot : str or None
        Snapshot that the reply states.
    """

    partitions: tuple[int, ...] = ()
    pinned_snapshot: str = ''
    records: tuple[Record, ...] | None = None
    snapshot: str | None = None

    def create_send(self, attempt_id: str, leaf_id: str) -> SendCall:
        """Return the action that sends one attempt to a leaf."""
        return SendShard(
            attempt_id,
            self.group_id,
            leaf_id,
            self.pinned_snapshot,
            self.partitions,
        )
