"""Effect of what leafs state about themselves in their responses."""

from collections import Counter

import attrs

from clementinebank.clock import now
from clementinebank.forwarding._messages import LeafResponse
from clementinebank.leafs import LeafDirectory, LeafRecord
from clementinebank.routing import Router


@attrs.define(eq=False)
class StatementRecorder:
    """Recorder of the statements of leafs in the state of this instance.

    Parameters
    ----------
    router : Router
        State of the leafs.
    directory : LeafDirectory
        Registered leafs, and those that have said that they leave.
    malformed_by_name : Counter of str
        Statements that couldn't be read and were ignored, by their name.
    """

    router: Router
    directory: LeafDirectory
    malformed_by_name: Counter[str] = attrs.Factory(Counter)
    _registered_cold_by_leaf: dict[str, tuple[int, float]] = attrs.Factory(dict)

    def record(
        self, incarnation_id: str, leaf_response: LeafResponse, elapsed_s: float
    ) -> None:
        """Apply what a response states about its leaf.

        Parameters
        ----------
        incarnation_id : str
            Leaf that responded; an unknown one is ignored.
        leaf_response : LeafResponse
            Its response.
        elapsed_s : float
            Time since the request was sent, in seconds.
        """
        self.malformed_by_name.update(leaf_response.malformed)
        leaf = self.router.leafs_by_id.get(incarnation_id)
        if leaf is None:
            return
        if leaf_response.is_leaving:
            self.on_leaving(incarnation_id, is_told_on=True)
        load = leaf_response.load
        if load is not None:
            leaf.on_load(load.running, load.waiting)
            if load.slowness is not None:
                leaf.on_slowness(now(), load.slowness)
        if leaf_response.cold_s is not None:
            self.router.set_cold(incarnation_id, leaf_response.cold_s, now())
        if leaf_response.retry_after_s is not None:
            self.router.on_turned_away(
                incarnation_id, leaf_response.retry_after_s, now()
            )
        self.router.on_named_limit(
            incarnation_id, leaf_response.named_limit, now(), elapsed_s
        )

    def update_cold(self, record: LeafRecord) -> None:
        """Apply what a new registration states about the warm-up of a leaf.

        The time that it states runs from its arrival, so each one counts once.
        """
        leaf_id = record.incarnation_id
        if record.service not in self.router.cold_rates_by_group:
            return
        stated = (record.sequence, record.cold_s)
        if self._registered_cold_by_leaf.get(leaf_id) != stated:
            self._registered_cold_by_leaf[leaf_id] = stated
            self.router.set_cold(leaf_id, record.cold_s, now())

    def retain(self) -> None:
        """Forget the registrations of leafs that are gone."""
        known = self._registered_cold_by_leaf
        for leaf_id in known.keys() - self.router.leafs_by_id.keys():
            known.pop(leaf_id)

    def on_leaving(self, incarnation_id: str, is_told_on: bool) -> bool:
        """Send no new requests to an incarnation that leaves.

        Parameters
        ----------
        incarnation_id : str
            Incarnation that leaves; it may be unknown here.
        is_told_on : bool
            Whether this instance has to tell others.

        Returns
        -------
        bool
            Whether that was not known before.
        """
        is_news = self.directory.on_leaving(
            incarnation_id, now(), is_told_on=is_told_on
        )
        leaf = self.router.leafs_by_id.get(incarnation_id)
        if is_news and leaf is not None:
            leaf.start_drain(now())
        return is_news
