"""Contents of the messages between instances and their effects.

The module performs no I/O; ``_follower.py`` sends the messages.
"""

import math

import attrs
from eliot import log_message
from result import Err

from clementinebank.distribution._currency import Currency, CurrencyState
from clementinebank.distribution._messages import DocumentDelta, SyncMessage
from clementinebank.distribution._peer_replies import PeerReplies
from clementinebank.distribution._state import DocumentState
from clementinebank.errors import Failure
from clementinebank.membership import MemberReport, MembershipView

# Time between two counts of the instances that are heard.
MAJORITY_INTERVAL_S = 1.0


@attrs.define
class Exchange:
    """Builder of messages to peers and handler of messages from them.

    Parameters
    ----------
    view : MembershipView
        View of the fleet.
    state : DocumentState
        Document in force.
    currency : Currency
        Time at which the head was last read.
    peer_replies : PeerReplies
        Replies of peers since the start or the last pause.
    hears_majority : bool
        Whether more than half of the live instances were heard at the last
        count.
    """

    view: MembershipView
    state: DocumentState = attrs.Factory(DocumentState)
    currency: Currency = attrs.Factory(Currency)
    peer_replies: PeerReplies = attrs.Factory(PeerReplies)
    hears_majority: bool = False
    _majority_updated_at: float = -math.inf

    def tick(self, now: float) -> None:
        """Detect a pause of the process and update ``hears_majority``.

        After a pause, earlier readings of the head, heartbeats and replies no
        longer count.
        """
        is_resumed = self.currency.tick(now)
        if is_resumed or self.peer_replies.started_at is None:
            self.peer_replies.reset(now)
        if is_resumed:
            log_message(message_type='instance:paused')
            self.view.reset_contacts(now)
        if is_resumed or now - self._majority_updated_at >= MAJORITY_INTERVAL_S:
            # Not computed for each request, because it visits every member.
            self.hears_majority = self.view.hears_majority(now)
            self._majority_updated_at = now

    def currency_state(self, now: float) -> CurrencyState:
        """Return how current the document in force is.

        Without a document the instance counts as isolated.
        """
        if self.state.document is None:
            return CurrencyState.ISOLATED
        return self.currency.state(now, self.hears_majority)

    def may_serve(self, now: float) -> bool:
        """Return whether this instance may serve callers.

        It needs a document, and an isolated instance serves only if the
        document says ``isolation: serve``.
        """
        document = self.state.document
        if document is None:
            return False
        return (
            document.fleet.isolation == 'serve'
            or self.currency_state(now) is not CurrencyState.ISOLATED
        )

    def change_failure(self, now: float) -> Failure | None:
        """Return why this instance refuses document changes.

        ``None`` means that it accepts them. A pause that no tick has detected
        yet is detected here.
        """
        if self.currency.is_paused(now):
            self.tick(now)
        return self.peer_replies.change_failure(self.view, now)

    def build_request(self, now: float) -> SyncMessage:
        """Return the first message of an exchange with a peer."""
        return self._build_message(now)

    def handle_request(self, message: SyncMessage, now: float) -> SyncMessage:
        """Apply the request of a peer and return the reply.

        The reply carries the sections that the peer lacks or, if the delta in
        the request did not fit, the digests of the own sections.

        Parameters
        ----------
        message : SyncMessage
            The request.
        now : float
            Runtime time in seconds.
        """
        self._merge_members(message, now)
        digests = self._apply_delta(message)
        delta = None if digests else self._delta_missing_at_sender(message)
        return self._build_message(now, delta, digests)

    def handle_reply(
        self, reply: SyncMessage, sent_at: float, now: float
    ) -> SyncMessage | None:
        """Apply the reply of a peer and return the next request.

        ``None`` ends the exchange: neither side lacks sections of the other.

        Parameters
        ----------
        reply : SyncMessage
            The reply.
        sent_at : float
            Runtime time at which the request was sent. The age of the head
            that the peer reports is counted back from this time, because the
            reply may have been written at any time since then; the reading
            is thus never taken for newer than it is.
        now : float
            Runtime time in seconds.
        """
        self._merge_members(reply, sent_at)
        digests = self._apply_delta(reply)
        self.peer_replies.on_reply(reply, sent_at, self.state)
        if digests:
            return self._build_message(now, None, digests)
        if reply.head_age_s is not None and (
            self.state.revision >= reply.revision
        ):
            self.currency.confirm(sent_at - reply.head_age_s)
        delta = self._delta_missing_at_sender(reply)
        return None if delta is None else self._build_message(now, delta)

    def _merge_members(self, message: SyncMessage, at: float) -> None:
        sender = MemberReport(message.sender, 0)
        self.view.merge((sender, *message.members), at)

    def _delta_missing_at_sender(
        self, message: SyncMessage
    ) -> DocumentDelta | None:
        if message.section_digests:
            return self.state.delta_by_digests(
                message.revision, message.section_digests
            )
        return self.state.delta_since(message.revision)

    def _apply_delta(self, message: SyncMessage) -> dict[str, bytes]:
        """Apply the delta of a message, if it has one.

        Returns
        -------
        dict of str to bytes
            Digests of the own sections if the delta did not fit, so that the
            peer sends the sections that differ; otherwise empty.
        """
        if message.delta is None:
            return {}
        source = message.sender.instance_id
        applied = self.state.apply_delta(message.delta, source)
        if isinstance(applied, Err):
            failure = applied.err_value
            log_message(
                message_type='document:delta_refused', reason=str(failure)
            )
            if failure.code == 'delta_mismatch':
                return dict(self.state.digests)
        return {}

    def _build_message(
        self,
        now: float,
        delta: DocumentDelta | None = None,
        section_digests: dict[str, bytes] | None = None,
    ) -> SyncMessage:
        return SyncMessage(
            sender=attrs.evolve(self.view.own, revision=self.state.revision),
            revision=self.state.revision,
            digest=self.state.digest,
            head_age_s=self.currency.age_s(now),
            view_digest=self.view.digest(),
            members=tuple(self.view.choose_reports(now)),
            delta=delta,
            section_digests=section_digests or {},
        )
