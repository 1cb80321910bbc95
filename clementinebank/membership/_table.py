"""Merged reports of the instances and how they age."""

import hashlib
import math
import random
from collections.abc import Iterable

import attrs

from clementinebank.membership._member import (
    ListedInstance,
    Member,
    MemberReport,
    MemberState,
    merge_members,
)

# 24 members take about 1 KB, so four messages a second stay below 5 KB/s.
MAX_NEWS = 24
HEARD_WINDOW_S = 5.0
# An instance receives about 48 reports a second, of which half are new. In
# n / 8 s it hears 95 % of the others, in 0.6 n s each of them with a margin
# for the longest gap. A shorter time made watchers of 90 instances alternate.
HEARD_WINDOW_PER_MEMBER_S = 0.125
SUSPECT_WINDOW_PER_MEMBER_S = 0.6
FAILURES_OF_SUSPECT = 2
REMOVE_AFTER_S = 60.0
FORGET_AFTER_S = 600.0
LIST_FRESH_S = 30.0
NEVER = -math.inf


@attrs.define
class Entry:
    """A member with the times at which it was heard.

    Parameters
    ----------
    member : Member
        Merged reports.
    seen_at : float
        When it was added or last heard, in runtime seconds.
    heard_at : float
        When it was last heard, directly or by a peer; reset when trust is
        lost.
    failures : int
        Consecutive calls to it that failed.
    failed_at : float
        When the last of them failed.
    sends_left : int
        Messages that still carry its last change of state.
    """

    member: Member
    seen_at: float
    heard_at: float = NEVER
    failures: int = 0
    failed_at: float = NEVER
    sends_left: int = 0

    def is_suspect(self, silence_limit: float) -> bool:
        """Return whether the instance is silent or fails calls.

        Parameters
        ----------
        silence_limit : float
            Runtime time since which it must have been seen. It is an
            argument because a loop over all entries computes it once.
        """
        return (
            self.failures >= FAILURES_OF_SUSPECT or self.seen_at < silence_limit
        )


@attrs.define
class MemberTable:
    """What is known of the instances; performs no I/O.

    Parameters
    ----------
    own : Member
        This instance.
    rng : random.Random
        Source of the random choices.
    """

    own: Member
    rng: random.Random = attrs.Factory(random.Random)
    entries_by_id: dict[str, Entry] = attrs.Factory(dict)
    listed_ids: frozenset[str] = frozenset()
    listed_at: float = NEVER
    is_superseded: bool = False
    trusted_at: float = NEVER
    _digest: bytes = b''

    @property
    def members_by_id(self) -> dict[str, Member]:
        """Return every known instance, this one included."""
        found = {key: each.member for key, each in self.entries_by_id.items()}
        found[self.own.instance_id] = self.own
        return found

    @property
    def heard_window_s(self) -> float:
        """Return the longest time in seconds since one counts as heard."""
        return self._window_s(HEARD_WINDOW_PER_MEMBER_S)

    @property
    def suspect_window_s(self) -> float:
        """Return the silence in seconds after which one is suspected."""
        return self._window_s(SUSPECT_WINDOW_PER_MEMBER_S)

    def digest(self) -> bytes:
        """Return a digest of the instances, incarnations and states."""
        if not self._digest:
            rows = sorted(
                (each.instance_id, each.incarnation, int(each.state))
                for each in self.members_by_id.values()
            )
            self._digest = hashlib.blake2b(
                repr(rows).encode(), digest_size=8
            ).digest()
        return self._digest

    def merge(self, reports: Iterable[MemberReport], at: float) -> None:
        """Merge peers' reports.

        Parameters
        ----------
        reports : iterable of MemberReport
            The reports.
        at : float
            Runtime time that their ages refer to.
        """
        for report in reports:
            if report.member.instance_id == self.own.instance_id:
                self._merge_own(report.member)
            else:
                self._merge_other(report.member, at - report.age_s)

    def merge_list(self, listed: Iterable[ListedInstance], now: float) -> None:
        """Merge the instance list, which lags behind the peers' reports."""
        known = {each.instance_id: each for each in listed}
        self.listed_ids = frozenset(known)
        self.listed_at = now
        for instance_id, instance in known.items():
            if instance_id != self.own.instance_id:
                self._merge_listed(instance, now)

    def beat(self, revision: int, now: float) -> None:
        """Advance the own heartbeat and remove silent instances."""
        self.own = attrs.evolve(
            self.own, heartbeat=self.own.heartbeat + 1, revision=revision
        )
        limit = self.silence_limit(now)
        silent = [
            (instance_id, entry)
            for instance_id, entry in self.entries_by_id.items()
            if entry.seen_at < limit
        ]
        for instance_id, entry in silent:
            self._expire(instance_id, entry, now)

    def announce_leaving(self) -> None:
        """Put this instance into the state ``leaving``."""
        self.own = attrs.evolve(
            self.own, state=max(self.own.state, MemberState.LEAVING)
        )
        self._digest = b''

    def contact_failed(self, instance_id: str, now: float) -> None:
        """Count a call to an instance that failed."""
        entry = self.entries_by_id.get(instance_id)
        if entry is not None:
            entry.failures += 1
            entry.failed_at = now

    def distrust(self, now: float) -> None:
        """Forget when instances were heard, after a pause of the process."""
        self.trusted_at = now
        for entry in self.entries_by_id.values():
            entry.heard_at = NEVER
            entry.seen_at = now
            entry.failures = 0

    def is_heard(self, instance_id: str, now: float) -> bool:
        """Return whether an instance was heard within the window."""
        entry = self.entries_by_id.get(instance_id)
        return entry is not None and now - entry.heard_at <= self.heard_window_s

    def silence_limit(self, now: float) -> float:
        """Return the time since which an instance must have been seen."""
        return now - self.suspect_window_s

    def _window_s(self, per_member_s: float) -> float:
        count = len(self.entries_by_id)
        if count <= MAX_NEWS:
            return HEARD_WINDOW_S
        return max(HEARD_WINDOW_S, per_member_s * count)

    def _merge_own(self, report: Member) -> None:
        if report.incarnation > self.own.incarnation:
            self.is_superseded = True
        elif (
            report.incarnation == self.own.incarnation
            and report.state > self.own.state
        ):
            # Peers removed this instance during a pause. The state is final
            # within an incarnation, so the instance returns under a new one.
            self.own = attrs.evolve(
                self.own, incarnation=self.own.incarnation + 1
            )
            self._digest = b''

    def _merge_other(self, report: Member, heard_at: float) -> None:
        entry = self.entries_by_id.get(report.instance_id)
        if entry is None:
            entry = Entry(
                report, heard_at, sends_left=self._state_change_sends()
            )
            self.entries_by_id[report.instance_id] = entry
            self._digest = b''
        known = entry.member
        if _incarnation_and_heartbeat(report) >= _incarnation_and_heartbeat(
            known
        ):
            self._record_heard(entry, heard_at)
        if report == known:
            return
        entry.member = merge_members(known, report)
        if _incarnation_and_state(entry.member) != _incarnation_and_state(
            known
        ):
            entry.sends_left = self._state_change_sends()
            self._digest = b''

    def _record_heard(self, entry: Entry, heard_at: float) -> None:
        if heard_at < self.trusted_at:
            return
        entry.heard_at = max(entry.heard_at, heard_at)
        entry.seen_at = max(entry.seen_at, heard_at)
        if heard_at > entry.failed_at:
            entry.failures = 0

    def _merge_listed(self, listed: ListedInstance, now: float) -> None:
        state = MemberState.LEAVING if listed.is_leaving else MemberState.LIVE
        entry = self.entries_by_id.get(listed.instance_id)
        if entry is None:
            member = Member(
                listed.instance_id,
                0,
                listed.address,
                listed.data_centre,
                state,
            )
            self.entries_by_id[listed.instance_id] = Entry(member, now)
            self._digest = b''
        elif entry.is_suspect(self.silence_limit(now)):
            # The list may still describe an earlier incarnation, so it
            # counts only for an instance that is not heard.
            entry.member = attrs.evolve(
                entry.member, state=max(entry.member.state, state)
            )
            self._digest = b''

    def _expire(self, instance_id: str, entry: Entry, now: float) -> None:
        silence = now - entry.seen_at
        if entry.member.state is MemberState.GONE:
            if silence > FORGET_AFTER_S:
                self._remove(instance_id)
            return
        is_listed = instance_id in self.listed_ids
        is_list_fresh = now - self.listed_at <= LIST_FRESH_S
        if entry.member.incarnation == 0 and not is_listed:
            self._remove(instance_id)
        elif entry.member.state is MemberState.LEAVING or (
            silence > REMOVE_AFTER_S and is_list_fresh and not is_listed
        ):
            entry.member = attrs.evolve(entry.member, state=MemberState.GONE)
            entry.sends_left = self._state_change_sends()
            self._digest = b''

    def _remove(self, instance_id: str) -> None:
        self.entries_by_id.pop(instance_id)
        self._digest = b''

    def _state_change_sends(self) -> int:
        return 3 * math.ceil(math.log2(len(self.entries_by_id) + 2))


def _incarnation_and_heartbeat(member: Member) -> tuple[int, int]:
    return member.incarnation, member.heartbeat


def _incarnation_and_state(member: Member) -> tuple[int, int]:
    return member.incarnation, int(member.state)
