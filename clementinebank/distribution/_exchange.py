"""Decisions of one exchange of messages between two instances."""

import math

import attrs
from eliot import log_message
from result import Err

from clementinebank.distribution._currency import Currency, CurrencyState
from clementinebank.distribution._introduction import Introduction
from clementinebank.distribution._messages import DocumentDelta, SyncMessage
from clementinebank.distribution._state import DocumentState
from clementinebank.errors import Failure
from clementinebank.membership import MemberReport, MembershipView

MAJORITY_INTERVAL_S = 1.0


@attrs.define
class Exchange:
    """What an instance says to peers and takes from them; no I/O.

    Parameters
    ----------
    view : MembershipView
        View of the fleet.
    state : DocumentState
        Document in force.
    currency : Currency
        When the head was last read.
    introduction : Introduction
        What peers told since the start.
    """

    view: MembershipView
    state: DocumentState = attrs.Factory(DocumentState)
    currency: Currency = attrs.Factory(Currency)
    introduction: Introduction = attrs.Factory(Introduction)
    hears_majority: bool = False
    _counted_at: float = -math.inf

    def tick(self, now: float) -> None:
        """Note that the loop runs and refresh what is derived from time."""
        is_resumed = self.currency.tick(now)
        if is_resumed or self.introduction.started_at is None:
            self.introduction.start(now)
        if is_resumed:
            log_message(message_type='instance:paused')
            self.view.distrust(now)
        if is_resumed or now - self._counted_at >= MAJORITY_INTERVAL_S:
            # Counted here and not per request, as it visits every member.
            self.hears_majority = self.view.hears_majority(now)
            self._counted_at = now

    def currency_state(self, now: float) -> CurrencyState:
        """Return the currency of the document in force."""
        if self.state.document is None:
            return CurrencyState.ISOLATED
        return self.currency.state(now, self.hears_majority)

    def may_serve(self, now: float) -> bool:
        """Return whether callers may be served."""
        document = self.state.document
        if document is None:
            return False
        return (
            document.fleet.isolation == 'serve'
            or self.currency_state(now) is not CurrencyState.ISOLATED
        )

    def change_failure(self, now: float) -> Failure | None:
        """Return why document changes are refused here, or ``None``."""
        if self.currency.is_paused(now):
            self.tick(now)
        return self.introduction.failure(self.view, now)

    def request(self, now: float) -> SyncMessage:
        """Return the first message to a peer."""
        return self._message(now)

    def receive_request(self, message: SyncMessage, now: float) -> SyncMessage:
        """Take a request and return the reply."""
        self._merge_members(message, now)
        digests = self._take_delta(message)
        delta = None if digests else self._delta_for(message)
        return self._message(now, delta, digests)

    def receive_reply(
        self, reply: SyncMessage, sent_at: float, now: float
    ) -> SyncMessage | None:
        """Take a reply and return the next request, if one is needed.

        Parameters
        ----------
        reply : SyncMessage
            The reply.
        sent_at : float
            When the request was sent. The reading of the head that the peer
            reports is at least this old, however long the reply took.
        now : float
            Current time.
        """
        self._merge_members(reply, sent_at)
        digests = self._take_delta(reply)
        self.introduction.on_reply(reply, sent_at, self.state)
        if digests:
            return self._message(now, None, digests)
        if reply.head_age_s is not None and (
            self.state.revision >= reply.revision
        ):
            self.currency.confirm(sent_at - reply.head_age_s)
        delta = self._delta_for(reply)
        return None if delta is None else self._message(now, delta)

    def _merge_members(self, message: SyncMessage, at: float) -> None:
        sender = MemberReport(message.sender, 0)
        self.view.merge((sender, *message.members), at)

    def _delta_for(self, message: SyncMessage) -> DocumentDelta | None:
        if message.section_digests:
            return self.state.delta_for(
                message.revision, message.section_digests
            )
        return self.state.delta_since(message.revision)

    def _take_delta(self, message: SyncMessage) -> dict[str, bytes]:
        """Apply a delta; return own digests if it does not fit."""
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

    def _message(
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
            members=tuple(self.view.news(now)),
            delta=delta,
            section_digests=section_digests or {},
        )
