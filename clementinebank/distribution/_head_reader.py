"""Reads of the head record from the key-value service.

A head record that lacks changes in force, as after a restore of the service,
is merged with the record in force and written back.
"""

import attrs
from eliot import log_message
from result import Err, Result

from clementinebank.clock import now
from clementinebank.coordination import Entry, KeyValueService
from clementinebank.distribution._digest import (
    document_digest,
    section_digests,
)
from clementinebank.distribution._exchange import Exchange
from clementinebank.document import (
    DOCUMENT_KEY,
    HeadRecord,
    HeadTooLargeError,
    decode_head,
    merge_restored,
    parse_document,
    trim_history,
)
from clementinebank.errors import Failure

# Longest time that a watch waits for a change. A waiting watch counts as one
# call. A watch that ends without a change confirms the head, so this time
# bounds the age of the confirmation.
WATCH_WAIT_MS = 1000
SOURCE_NAME = 'key-value service'


@attrs.define(eq=False)
class HeadReader:
    """Reader and watcher of the document's key.

    Parameters
    ----------
    key_value : KeyValueService
        The platform's service.
    exchange : Exchange
        Holds the document in force and its currency, which are updated.
    version : int or None
        Version of the key read last; ``None`` after a failure. The next call
        is then a read and no watch, because a restored service may reuse a
        version number.
    restored_heads : int
        Number of heads that lacked changes in force and were merged with
        the record in force.
    """

    key_value: KeyValueService
    exchange: Exchange
    version: int | None = None
    restored_heads: int = 0

    async def read_or_watch(self) -> bool:
        """Read or watch the key once and apply the head record.

        Returns
        -------
        bool
            False if the service failed or a head could not be written back.
            The next call then reads the key again.
        """
        sent_at = now()
        if self.version is None:
            outcome: Result[Entry | None, Failure] = await self.key_value.read(
                DOCUMENT_KEY
            )
        else:
            outcome = await self.key_value.watch(
                DOCUMENT_KEY, self.version, WATCH_WAIT_MS
            )
        if isinstance(outcome, Err):
            self.version = None
            log_message(
                message_type='document:watch_failed',
                reason=str(outcome.err_value),
            )
            return False
        entry = outcome.ok_value
        if entry is None:
            self._confirm_unchanged(sent_at)
            return True
        self.version = entry.version
        return await self._process_entry(entry, sent_at)

    def _confirm_unchanged(self, sent_at: float) -> None:
        """Confirm the head as it was when the service answered at the earliest.

        An answer that comes before the end of the wait was given at an unknown
        moment since the request.
        """
        if self.version:
            waited_until = sent_at + WATCH_WAIT_MS / 1000
            has_waited = now() >= waited_until
            self.exchange.currency.confirm(
                waited_until if has_waited else sent_at
            )

    async def _process_entry(self, entry: Entry, read_at: float) -> bool:
        state = self.exchange.state
        if not entry.version:
            if state.revision:
                return await self._write_back(HeadRecord(), 0, read_at)
            return True
        try:
            head = decode_head(entry.value)
        except ValueError as error:
            state.raise_alarm(str(error), SOURCE_NAME)
            self.exchange.currency.confirm(read_at)
            return True
        is_different_record = (
            head.revision == state.revision and _digest_of(head) != state.digest
        )
        if is_different_record or not head.extends(state.head):
            return await self._write_back(head, entry.version, read_at)
        # An invalid head is not applied and raises the alarm. It still
        # confirms the document in force, because no valid head is newer.
        state.apply(head, SOURCE_NAME)
        state.is_diverged = False
        self.exchange.currency.confirm(read_at)
        return True

    async def _write_back(
        self, restored: HeadRecord, version: int, read_at: float
    ) -> bool:
        """Write a merge of the stored record and the record in force."""
        state = self.exchange.state
        merged = _merge_or_raise_revision(restored, state.head)
        self.restored_heads += 1
        log_message(
            message_type='document:restored_head',
            restored_revision=restored.revision,
            revision_in_force=state.revision,
            written_revision=merged.revision,
        )
        swapped = await self.key_value.compare_and_swap(
            DOCUMENT_KEY, merged.encode(), version
        )
        if isinstance(swapped, Err):
            # Another watcher may have written first, or the outcome is
            # unknown: the next call reads the head again.
            self.version = None
            log_message(
                message_type='document:write_back_failed',
                reason=str(swapped.err_value),
            )
            return False
        self.version = swapped.ok_value.version
        state.apply(merged, SOURCE_NAME)
        self.exchange.currency.confirm(read_at)
        return True


def _merge_or_raise_revision(
    restored: HeadRecord, in_force: HeadRecord
) -> HeadRecord:
    """Return a valid record with a higher revision than both records.

    It contains the changes of both. If their merge is too large or invalid,
    it contains only those of the record in force.
    """
    try:
        merged = trim_history(merge_restored(restored, in_force))
    except HeadTooLargeError as error:
        log_message(message_type='document:merge_failed', reason=str(error))
        return _with_higher_revision(restored, in_force)
    parsed = parse_document(merged.texts_by_section, merged.revision)
    if isinstance(parsed, Err):
        reason = '; '.join(str(each) for each in parsed.err_value)
        log_message(message_type='document:merge_failed', reason=reason)
        return _with_higher_revision(restored, in_force)
    return merged


def _with_higher_revision(
    restored: HeadRecord, in_force: HeadRecord
) -> HeadRecord:
    revision = max(restored.revision, in_force.revision) + 1
    return attrs.evolve(in_force, revision=revision)


def _digest_of(head: HeadRecord) -> bytes:
    return document_digest(head.revision, section_digests(head))
