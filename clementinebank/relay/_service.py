"""Server that sends the entries of an instance to other instances."""

from collections.abc import Callable, Collection

import attrs

from clementinebank.clock import now
from clementinebank.relay._aggregators import FleetMember
from clementinebank.relay._codec import (
    WatchReply,
    WatchRequest,
    decode_request,
    encode_reply,
)
from clementinebank.relay._log import MAX_PAGE_BYTES, EntryLog, size_of
from clementinebank.validation import Address

WATCH_PATH = '/clementinebank.Relay/Watch'
# A follower sends its next request at once after each reply; one that sent none
# for this time reads from another relay or has stopped.
FOLLOWER_TIMEOUT_S = 10.0
# Longest time that a request may wait for a change or a confirmation.
MAX_WAIT_S = 8.0
# The ages that a relay and its follower report differ by the time a message is
# on its way and by busy event loops. A follower that is fresher by more than
# this has a better source.
AGE_TOLERANCE_S = 0.5
MAX_FRESHER_FOLLOWERS = 3
# Memory for the followers if no size is given, in bytes.
MAX_FOLLOWER_BYTES = 4_000_000
# Memory of a follower besides its names: the last request with its numbers,
# and its places in the mappings.
FOLLOWER_OVERHEAD_BYTES = 1500
# Ages of the same confirmation differ by the time that messages are on their
# way; the relay's confirmation is newer only if it is newer by more than this.
CONFIRMATION_TOLERANCE_S = 0.1


def _no_notice() -> bytes:
    """Return the notice of an instance that sends none."""
    return b''


@attrs.frozen
class _Follower:
    """Instance that reads from this one.

    Parameters
    ----------
    request : WatchRequest
        Its last request.
    asked_at : float
        Runtime time of that request in seconds.
    is_fresher : bool
        Whether its state was fresher than that of this instance.
    """

    request: WatchRequest
    asked_at: float
    is_fresher: bool

    @property
    def confirmed_at(self) -> float:
        """Return when the store last confirmed its state."""
        return self.asked_at - self.request.age_s

    @property
    def size(self) -> int:
        """Return about how much memory it needs, in bytes."""
        request = self.request
        names = (request.instance_id, request.data_centre, request.after_key)
        return sum(map(len, names)) + FOLLOWER_OVERHEAD_BYTES


@attrs.define(eq=False)
class RelayService:
    """Server of the ``Watch`` method, which sends entries to followers.

    Every instance runs it, whatever its own source is: the age in each reply
    tells the follower whether the state of this instance is fresh enough.

    Parameters
    ----------
    log : EntryLog
        Entries that this instance knows, and their age.
    create_notice : callable
        Returns what another service adds to each reply, empty if nothing.
    max_follower_bytes : float
        Largest size of what is kept of the followers, in bytes; those that
        asked longest ago are forgotten first.
    """

    log: EntryLog
    create_notice: Callable[[], bytes] = _no_notice
    max_follower_bytes: float = MAX_FOLLOWER_BYTES
    # Followers in the order of their last requests.
    _followers_by_instance: dict[str, _Follower] = attrs.Factory(dict)
    _follower_bytes: int = 0

    async def handle_watch(self, payload: bytes) -> bytes:
        """Return the encoded reply to one encoded request.

        Waits for a change or a confirmation for the time that the request
        asks for, at most ``MAX_WAIT_S``. The reply is sent at once if there
        is an update already, or if the state of the follower is fresher.

        Raises
        ------
        RpcProtocolError
            If the payload is not a valid request.
        """
        request = decode_request(payload)
        self._record_follower(request)
        received_at = now()
        reply = await self._reply(request)
        return encode_reply(
            attrs.evolve(
                reply,
                notice=self.create_notice(),
                held_s=now() - received_at,
            )
        )

    def follower_count(self, excluded: Collection[str] = ()) -> int:
        """Return the number of instances that read from this one now.

        Parameters
        ----------
        excluded : collection of str
            Data centres whose instances aren't counted.
        """
        self._forget_inactive()
        return sum(
            each.request.data_centre not in excluded
            for each in self._followers_by_instance.values()
        )

    def members_of(self, data_centre: str) -> list[FleetMember]:
        """Return the followers in a data centre that can be aggregators."""
        self._forget_inactive()
        requests = [
            each.request for each in self._followers_by_instance.values()
        ]
        return [
            FleetMember(request.address, request.cores)
            for request in requests
            if request.data_centre == data_centre and request.cores > 0
        ]

    def fresher_followers(self) -> list[Address]:
        """Return the addresses of fresher followers, freshest first.

        Their last confirmation of the store is later than that of this
        instance. An instance that the store refuses can read from them. At
        most ``MAX_FRESHER_FOLLOWERS`` are returned.
        """
        fresh_after = self.log.confirmed_at + AGE_TOLERANCE_S
        candidates = [
            (follower.confirmed_at, follower.request.address)
            for follower in self._followers_by_instance.values()
            if follower.is_fresher
            and (
                follower.confirmed_at > fresh_after
                or self.log.is_restored(follower.request.position)
            )
        ]
        candidates.sort(key=lambda pair: -pair[0])
        return [address for _, address in candidates[:MAX_FRESHER_FOLLOWERS]]

    def _record_follower(self, request: WatchRequest) -> None:
        """Keep the last request of a follower."""
        self._forget(request.instance_id)
        follower = _Follower(request, now(), self._is_follower_fresher(request))
        self._followers_by_instance[request.instance_id] = follower
        self._follower_bytes += follower.size
        self._forget_inactive()

    def _forget_inactive(self) -> None:
        """Forget followers that no longer ask, and those beyond the size."""
        inactive_before = now() - FOLLOWER_TIMEOUT_S
        while self._followers_by_instance:
            oldest = next(iter(self._followers_by_instance.values()))
            is_inactive = oldest.asked_at < inactive_before
            if not is_inactive and (
                self._follower_bytes <= self.max_follower_bytes
            ):
                return
            self._forget(oldest.request.instance_id)

    def _forget(self, instance_id: str) -> None:
        follower = self._followers_by_instance.pop(instance_id, None)
        if follower is not None:
            self._follower_bytes -= follower.size

    def _is_follower_fresher(self, request: WatchRequest) -> bool:
        """Return whether the follower's state is fresher than the own one.

        That of a later era is, whatever its age.
        """
        if not request.position.shares_era(self.log.position):
            return self.log.position.has_earlier_era(request.position)
        own_age_s = self.log.age_s(now())
        return request.age_s + AGE_TOLERANCE_S < own_age_s

    async def _reply(self, request: WatchRequest) -> WatchReply:
        wait_s = min(request.wait_s, MAX_WAIT_S)
        is_wait_useful = (
            not self.log.is_loaded or not self._is_follower_fresher(request)
        )
        if wait_s > 0 and is_wait_useful and not self._has_update(request):
            await self.log.wait_for_update(wait_s)
        log = self.log
        if not log.is_loaded:
            return WatchReply(is_loaded=False)
        age_s = log.age_s(now())
        if not request.position.revision:
            page = log.page_after(request.after_key)
            return WatchReply(
                page.entries, log.position, age_s, has_more=page.has_more
            )
        changes = log.changes_since(request.position)
        if changes is None or size_of(changes) > MAX_PAGE_BYTES:
            # What doesn't fit a message is read in pages as well.
            return WatchReply(
                position=log.position, age_s=age_s, is_history_lost=True
            )
        return WatchReply(changes, log.position, age_s)

    def _has_update(self, request: WatchRequest) -> bool:
        """Return whether a reply sent now has news for the follower.

        True for entries, changes, lost history or a newer confirmation.
        """
        if not request.position.revision:
            return self.log.is_loaded
        if not request.position.shares_era(self.log.position):
            return True
        changes = self.log.changes_since(request.position)
        if changes is None or changes:
            return True
        # The follower lacks a confirmation that came while its request was
        # on its way.
        newer_by_s = request.age_s - self.log.age_s(now())
        return newer_by_s > CONFIRMATION_TOLERANCE_S
