"""Replies that a started or paused instance needs before it accepts changes.

An instance that does not know the record in force in the fleet could accept a
change that contradicts it.
"""

import attrs

from clementinebank.distribution._messages import SyncMessage
from clementinebank.distribution._state import DocumentState
from clementinebank.errors import Failure, Step
from clementinebank.membership import Member, MembershipView, MemberState

# After this time the reply of one peer is enough: an accepted change is by then
# in force at every instance that can be reached, so each of them reports it.
ONE_REPLY_WAIT_S = 12.0
# After this time no reply is needed: the other instances are dead, or this one
# is cut off. The platform's list no longer names dead instances by then.
NO_REPLY_WAIT_S = 60.0
# Number of replies after which no further peers are asked. To ask a whole fleet
# of a few thousand at each of 22,000 restarts a day would exceed the load that
# the other instances may spend on control messages.
MAX_ASKED_PEERS = 16
# Number of peers that are asked in one round.
PEERS_PER_ROUND = 4


@attrs.define
class PeerReplies:
    """Replies of peers since the start or the last pause; performs no I/O.

    Parameters
    ----------
    started_at : float or None
        Runtime time in seconds of the start or of the end of the last pause.
        Replies to earlier requests do not count.
    answered_ids : set of str
        Instances that replied with the record that this instance has.
    differing_ids : set of str
        Instances whose last reply named a different record with the same or
        a higher revision.
    """

    started_at: float | None = None
    answered_ids: set[str] = attrs.Factory(set)
    differing_ids: set[str] = attrs.Factory(set)
    _is_record_known: bool = False

    def reset(self, now: float) -> None:
        """Discard all replies; only requests sent from now on count."""
        self.started_at = now
        self.answered_ids.clear()
        self.differing_ids.clear()
        self._is_record_known = False

    def on_reply(
        self, reply: SyncMessage, sent_at: float, state: DocumentState
    ) -> None:
        """Record whether a peer has the same record in force.

        A peer with another record, even of a lower revision, may hold a change
        that this instance lacks. It counts once it replies with the same
        record, after the exchange of deltas.

        Parameters
        ----------
        reply : SyncMessage
            Reply of the peer.
        sent_at : float
            Runtime time at which the request was sent.
        state : DocumentState
            Document in force at this instance.
        """
        if self.started_at is None or sent_at < self.started_at:
            return
        instance_id = reply.sender.instance_id
        self.differing_ids.discard(instance_id)
        if reply.digest == state.digest:
            self.answered_ids.add(instance_id)
        elif reply.revision >= state.revision:
            self.differing_ids.add(instance_id)

    def peers_to_ask(self, view: MembershipView, now: float) -> list[Member]:
        """Return at most ``PEERS_PER_ROUND`` random peers to ask next.

        The list is empty once the record in force is known.
        """
        if self.is_record_known(view, now):
            return []
        # After MAX_ASKED_PEERS replies only peers with a differing record are
        # asked, because those must still reply with the same record.
        is_bounded = (
            len(self.answered_ids | self.differing_ids) >= MAX_ASKED_PEERS
        )
        members = [
            member
            for member in _live_peers(view)
            if member.instance_id in self.differing_ids
            or not (is_bounded or member.instance_id in self.answered_ids)
        ]
        return view.rng.sample(members, min(len(members), PEERS_PER_ROUND))

    def is_record_known(self, view: MembershipView, now: float) -> bool:
        """Return whether enough peers replied since the start or pause.

        True means that the record in force at this instance is the one of the
        fleet. It stays true until the next pause.
        """
        if not self._is_record_known and self.started_at is not None:
            self._is_record_known = self._has_heard_enough(
                view, self.started_at, now
            )
        return self._is_record_known

    def change_failure(
        self, view: MembershipView, now: float
    ) -> Failure | None:
        """Return the failure of document changes, ``None`` if accepted."""
        if self.is_record_known(view, now):
            return None
        return Failure(
            'record_unknown',
            'this instance has started or was paused and has not yet heard '
            'enough instances to know the document in force '
            f'({len(self.answered_ids)} answered); this request wrote '
            'nothing; repeat it with the same change id at another instance, '
            f'or here after {ONE_REPLY_WAIT_S:.0f} s ({NO_REPLY_WAIT_S:.0f} s '
            'if no other instance answers)',
            Step.ACCEPT,
            peer=view.own.instance_id,
        )

    def _has_heard_enough(
        self, view: MembershipView, started_at: float, now: float
    ) -> bool:
        live_ids = {member.instance_id for member in _live_peers(view)}
        # These peers may hold changes that this instance lacks, so it waits
        # for them beyond both time limits.
        if live_ids & self.differing_ids:
            return False
        elapsed_s = now - started_at
        if elapsed_s >= NO_REPLY_WAIT_S:
            return True
        if self.answered_ids and elapsed_s >= ONE_REPLY_WAIT_S:
            return True
        if view.listed_at < started_at:
            return False
        return (
            len(live_ids) <= MAX_ASKED_PEERS and live_ids <= self.answered_ids
        )


def _live_peers(view: MembershipView) -> list[Member]:
    return [
        entry.member
        for entry in view.entries_by_id.values()
        if entry.member.state is MemberState.LIVE
    ]
