"""Server that grants tokens of limited leafs to other instances."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from clementinebank.clock import now
from clementinebank.ratelimit._coordinator import LimitCoordinator
from clementinebank.ratelimit._messages import (
    Acquisition,
    decode_request,
    decode_statements,
    decode_tight,
    encode_reply,
    encode_statements,
)
from clementinebank.ratelimit._quota_ledger import QuotaLedger
from clementinebank.ratelimit._quota_messages import QuotaReport, QuotaVerdict
from clementinebank.ratelimit._quota_table import QuotaTable
from clementinebank.ratelimit._table import LimitStatement, LimitTable

ACQUIRE_PATH = '/clementinebank.RateLimit/Acquire'

OnStatements = Callable[[Iterable[LimitStatement], float], None]


@attrs.define(eq=False)
class LimitService:
    """Server of the ``Acquire`` method, and source of notices on limits.

    Every instance runs it. The others choose which one they ask, see
    ``LimitClient``.

    Parameters
    ----------
    table : LimitTable
        Limits that this instance knows.
    on_statements : callable
        Applies statements of other instances, with the runtime time.
    coordinator : LimitCoordinator
        Grants the tokens.
    quotas : QuotaTable
        Quotas of accounts that this instance serves.
    ledger : QuotaLedger
        Quotas of accounts that it coordinates.
    """

    table: LimitTable
    on_statements: OnStatements
    coordinator: LimitCoordinator = attrs.Factory(LimitCoordinator)
    quotas: QuotaTable = attrs.Factory(QuotaTable)
    ledger: QuotaLedger = attrs.Factory(QuotaLedger)

    async def handle_acquire(self, payload: bytes) -> bytes:
        """Return the encoded reply to one encoded request.

        Raises
        ------
        RpcProtocolError
            If the payload is not a valid request.
        """
        at = now()
        request = decode_request(payload, at)
        self.on_statements(request.known, at)
        self.quotas.merge(request.tight)
        if request.reports:
            self.ledger.remote_at = at
        reply = Acquisition(
            tuple(self.table.statements_of(request.tokens_by_leaf)),
            self.acquire(request.tokens_by_leaf, at),
            verdicts=self.settle(request.reports, at),
        )
        return encode_reply(reply, at)

    def acquire(
        self, wanted_by_leaf: Mapping[str, int], at: float
    ) -> dict[str, int]:
        """Return the granted tokens of the leafs that name a limit."""
        return {
            leaf_id: self.coordinator.grant(
                leaf_id, wanted, limit.rate_per_s, at
            )
            for leaf_id, wanted in wanted_by_leaf.items()
            if (limit := self.table.limit_of(leaf_id)) is not None
        }

    def settle(
        self, reports: Iterable[QuotaReport], at: float
    ) -> tuple[QuotaVerdict, ...]:
        """Return the verdicts on the accounts whose quota is known."""
        verdicts = [self.ledger.settle(each, at) for each in reports]
        return tuple(each for each in verdicts if each is not None)

    def encode_notice(self) -> bytes:
        """Return the recent statements, for messages of other services.

        Empty if there are none.
        """
        at = now()
        statements = tuple(self.table.recent_statements(at))
        tight = tuple(self.quotas.recent_statements(at))
        if not (statements or tight):
            return b''
        return encode_statements(statements, at, tight)

    def apply_notice(self, notice: bytes) -> None:
        """Apply the limits that another instance knows.

        Raises
        ------
        RpcProtocolError
            If the notice is malformed.
        """
        if notice:
            self.on_statements(decode_statements(notice, now()), now())
            self.quotas.merge(decode_tight(notice, now()))
