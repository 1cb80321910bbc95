"""State of one shard of a search."""

import attrs

from clementinebank.dispatch import SendCall, Shard
from clementinebank.search._actions import SendShardRequest
from clementinebank.search._messages import Record


@attrs.define(eq=False)
class SearchShard(Shard):
    """Partitions of the pinned snapshot that one group of leafs searches.

    Parameters
    ----------
    partitions : tuple of int
        Partitions that the leaf is asked to search.
    pinned_snapshot : str
        Name of the snapshot that the leaf is asked to search.
    records : tuple of Record or None
        Records of the reply that was accepted; ``None`` before it.
    reply_snapshot : str or None
        Snapshot that the reply states; ``None`` before the reply.
    """

    partitions: tuple[int, ...] = ()
    pinned_snapshot: str = ''
    records: tuple[Record, ...] | None = None
    reply_snapshot: str | None = None

    def create_send(self, attempt_id: str, leaf_id: str) -> SendCall:
        """Return the action that sends the shard request to a leaf."""
        return SendShardRequest(
            attempt_id,
            self.group_id,
            leaf_id,
            self.pinned_snapshot,
            self.partitions,
        )
