"""Whether an instance has heard enough to know the record in force."""

import attrs

from clementinebank.distribution._messages import SyncMessage
from clementinebank.distribution._state import DocumentState
from clementinebank.errors import Failure, Step
from clementinebank.membership import Member, MembershipView, MemberState

# Within this time an accepted change is in effect on every instance that is
# reached, so that each of them can report it.
ANSWER_LIMIT_S = 12.0
# Without any answer the other instances are dead, or this one is cut off. The
# platform's list has dropped dead instances by then.
SILENCE_LIMIT_S = 60.0
# A larger fleet is not asked as a whole: a few thousand calls at each of
# 22,000 restarts a day would exceed the control budget of the others.
MAX_ASKED = 16
ASKED_AT_ONCE = 4


@attrs.define
class Introduction:
    """What peers told since the start or the last pause; performs no I/O.

    Parameters
    ----------
    started_at : float or None
        Runtime time in seconds since which answers count.
    answered_ids : set of str
        Instances that answered with the record that this instance has.
    differing_ids : set of str
        Instances whose last answer named another record that is not older.
    """

    started_at: float | None = None
    answered_ids: set[str] = attrs.Factory(set)
    differing_ids: set[str] = attrs.Factory(set)
    _is_known: bool = False

    def start(self, now: float) -> None:
        """Count only what is heard from now on."""
        self.started_at = now
        self.answered_ids.clear()
        self.differing_ids.clear()
        self._is_known = False

    def on_reply(
        self, reply: SyncMessage, sent_at: float, state: DocumentState
    ) -> None:
        """Count a reply of a peer that has the same record in force.

        A peer with another record, also with a lower revision, may hold a
        change that this instance lacks; it counts after the exchange.
        """
        if self.started_at is None or sent_at < self.started_at:
            return
        instance_id = reply.sender.instance_id
        self.differing_ids.discard(instance_id)
        if reply.digest == state.digest:
            self.answered_ids.add(instance_id)
        elif reply.revision >= state.revision:
            self.differing_ids.add(instance_id)

    def pending(self, view: MembershipView, now: float) -> list[Member]:
        """Return the next members to ask, none once the record is known."""
        if self.is_known(view, now):
            return []
        # Beyond the bound only those are asked whose answer must still change.
        is_bounded = len(self.answered_ids | self.differing_ids) >= MAX_ASKED
        members = [
            member
            for member in _live_peers(view)
            if member.instance_id in self.differing_ids
            or not (is_bounded or member.instance_id in self.answered_ids)
        ]
        return view.rng.sample(members, min(len(members), ASKED_AT_ONCE))

    def is_known(self, view: MembershipView, now: float) -> bool:
        """Return whether the record in force is known."""
        if not self._is_known and self.started_at is not None:
            self._is_known = self._has_heard_enough(view, self.started_at, now)
        return self._is_known

    def failure(self, view: MembershipView, now: float) -> Failure | None:
        """Return why document changes are refused, or ``None``."""
        if self.is_known(view, now):
            return None
        return Failure(
            'record_unknown',
            'this instance has started or was paused and has not yet heard '
            'enough instances to know the document in force '
            f'({len(self.answered_ids)} answered); this request wrote '
            'nothing; repeat it with the same change id at another instance, '
            f'or here after {ANSWER_LIMIT_S:.0f} s ({SILENCE_LIMIT_S:.0f} s if '
            'no other instance answers)',
            Step.ACCEPT,
            peer=view.own.instance_id,
        )

    def _has_heard_enough(
        self, view: MembershipView, started_at: float, now: float
    ) -> bool:
        live_ids = {member.instance_id for member in _live_peers(view)}
        # These hold changes that this instance lacks, however long it waits.
        if live_ids & self.differing_ids:
            return False
        elapsed_s = now - started_at
        if elapsed_s >= SILENCE_LIMIT_S:
            return True
        if self.answered_ids and elapsed_s >= ANSWER_LIMIT_S:
            return True
        if view.listed_at < started_at:
            return False
        return len(live_ids) <= MAX_ASKED and live_ids <= self.answered_ids


def _live_peers(view: MembershipView) -> list[Member]:
    return [
        entry.member
        for entry in view.entries_by_id.values()
        if entry.member.state is MemberState.LIVE
    ]
