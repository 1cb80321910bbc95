"""Incarnations of leafs that have said that they leave."""

from collections.abc import Collection

import attrs

# Time for which a departure is kept, in seconds. A leaf serves for some seconds
# after it said so, and its registration may last longer than the leaf.
KEPT_TIME_S = 300.0
# Bound of the departures that are kept.
MAX_DEPARTURES = 4096
# Incarnation of a leaf whose registration doesn't tell its start.
UNKNOWN_START_SUFFIX = '@0'


@attrs.define(eq=False)
class Departures:
    """Incarnations that must get no new requests, whatever the registry says.

    A departure is final: a leaf that starts again is another incarnation.

    Parameters
    ----------
    heard_at_by_incarnation : dict of str to float
        Runtime time in seconds at which this instance first heard of each
        departure, in that order.
    untold : set of str
        Departures that this instance has still to tell others.
    """

    heard_at_by_incarnation: dict[str, float] = attrs.Factory(dict)
    untold: set[str] = attrs.Factory(set)

    def __contains__(self, incarnation_id: str) -> bool:
        """Return whether an incarnation is known to leave."""
        return incarnation_id in self.heard_at_by_incarnation

    def add(self, incarnation_id: str, now: float, *, is_told_on: bool) -> bool:
        """Record a departure; the oldest one is forgotten if there are many.

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
            Whether it was not known before.
        """
        if incarnation_id in self:
            return False
        if len(self.heard_at_by_incarnation) >= MAX_DEPARTURES:
            self.forget(next(iter(self.heard_at_by_incarnation)))
        self.heard_at_by_incarnation[incarnation_id] = now
        if is_told_on:
            self.untold.add(incarnation_id)
        return True

    def forget(self, incarnation_id: str) -> None:
        """Forget a departure if it is known."""
        self.heard_at_by_incarnation.pop(incarnation_id, None)
        self.untold.discard(incarnation_id)

    def forget_unknown_start(self, incarnation_id: str) -> None:
        """Forget the departure of a leaf that is gone and told no start.

        The next leaf with its id would otherwise be taken for the same one.
        """
        if incarnation_id.endswith(UNKNOWN_START_SUFFIX):
            self.forget(incarnation_id)

    def expire(self, now: float, registered: Collection[str]) -> None:
        """Forget old departures of incarnations that aren't registered."""
        for incarnation_id, heard_at in list(
            self.heard_at_by_incarnation.items()
        ):
            if now < heard_at + KEPT_TIME_S:
                break
            if incarnation_id not in registered:
                self.forget(incarnation_id)

    def pop_untold(self) -> set[str]:
        """Return the departures that others have to hear of, once."""
        untold = self.untold
        self.untold = set()
        return untold
