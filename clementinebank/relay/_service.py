"""Answers other instances from the entries that this one knows."""

import attrs

from clementinebank.clock import now
from clementinebank.relay._codec import (
    WatchReply,
    WatchRequest,
    decode_request,
    encode_reply,
)
from clementinebank.relay._log import EntryLog
from clementinebank.validation import Address

WATCH_PATH = '/clementinebank.Relay/Watch'
# A follower asks again at once after each reply; one that was not heard from
# for this long follows another relay.
FOLLOWER_LIMIT_S = 10.0
MAX_WAIT_S = 8.0
# Ages of a relay and its followers differ by the way of a message and by busy
# loops; beyond this the follower has a better source.
AGE_TOLERANCE_S = 0.5
MAX_FRESHER_FOLLOWERS = 3
# The age of a follower lacks the way of the last reply, and grows by it.
CONFIRMATION_TOLERANCE_S = 0.1


@attrs.define(eq=False)
class RelayService:
    """Passes entries and their changes on to followers.

    Every instance offers it, whatever its own source is: the age in each
    reply tells followers whether this one is good enough.

    Parameters
    ----------
    log : EntryLog
        What this instance knows.
    """

    log: EntryLog
    _asked_at_by_instance: dict[str, float] = attrs.Factory(dict)
    _confirmed_at_by_follower: dict[Address, float] = attrs.Factory(dict)

    async def answer(self, payload: bytes) -> bytes:
        """Answer one encoded request.

        Raises
        ------
        RpcProtocolError
            If the payload is no request.
        """
        request = decode_request(payload)
        self._asked_at_by_instance[request.instance_id] = now()
        self._note_age(request)
        return encode_reply(await self._reply(request))

    def follower_count(self) -> int:
        """Return the instances that follow this one."""
        limit = now() - FOLLOWER_LIMIT_S
        gone = [
            instance_id
            for instance_id, asked_at in self._asked_at_by_instance.items()
            if asked_at < limit
        ]
        for instance_id in gone:
            self._asked_at_by_instance.pop(instance_id)
        return len(self._asked_at_by_instance)

    def fresher_followers(self) -> list[Address]:
        """Return the followers that heard from the store after this one.

        An instance that the store turns away learns from them.
        """
        known_at = self.log.confirmed_at + AGE_TOLERANCE_S
        fresher = [
            (confirmed_at, address)
            for address, confirmed_at in self._confirmed_at_by_follower.items()
            if confirmed_at > known_at
        ]
        fresher.sort(key=lambda pair: -pair[0])
        return [address for _, address in fresher[:MAX_FRESHER_FOLLOWERS]]

    def _note_age(self, request: WatchRequest) -> None:
        confirmed_at = now() - request.age_s
        if self._is_fresher(request):
            self._confirmed_at_by_follower[request.address] = confirmed_at
        else:
            self._confirmed_at_by_follower.pop(request.address, None)

    def _is_fresher(self, request: WatchRequest) -> bool:
        own_age_s = self.log.age_s(now())
        return request.age_s + AGE_TOLERANCE_S < own_age_s

    async def _reply(self, request: WatchRequest) -> WatchReply:
        wait_s = min(request.wait_s, MAX_WAIT_S)
        is_useful = not self.log.is_loaded or not self._is_fresher(request)
        if wait_s > 0 and is_useful and not self._has_news(request):
            await self.log.wait_for_news(wait_s)
        log = self.log
        if not log.is_loaded:
            return WatchReply(is_loaded=False)
        age_s = log.age_s(now())
        if not request.revision:
            page = log.page_after(request.after_key)
            return WatchReply(
                page.entries, log.revision, age_s, has_more=page.has_more
            )
        changes = log.changes_since(request.revision)
        if changes is None:
            return WatchReply(
                revision=log.revision, age_s=age_s, is_history_lost=True
            )
        return WatchReply(changes, log.revision, age_s)

    def _has_news(self, request: WatchRequest) -> bool:
        if not request.revision:
            return self.log.is_loaded
        changes = self.log.changes_since(request.revision)
        if changes is None or changes:
            return True
        # It may have asked while the last confirmation was on its way.
        newer_s = request.age_s - self.log.age_s(now())
        return newer_s > CONFIRMATION_TOLERANCE_S
