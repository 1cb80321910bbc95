"""Table of the known instances, and the removal of silent ones."""

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

# Largest number of reports in one message. 24 reports take about 1 KB, so four
# messages a second stay below 5 KB/s.
MAX_REPORTS_PER_MESSAGE = 24
# Shortest window within which an instance counts as heard, and shortest
# silence after which it is suspected.
HEARD_WINDOW_S = 5.0
# Seconds by which both windows grow per member in a large fleet of n members.
# An instance receives about 48 reports a second, of which half are new. In
# n / 8 s it hears 95 % of the others, in 0.6 n s each of them, with a margin
# for the longest gap. With a shorter time the choice of the watchers kept
# alternating in a fleet of 90 instances.
HEARD_WINDOW_PER_MEMBER_S = 0.125
SUSPECT_WINDOW_PER_MEMBER_S = 0.6
# Consecutive failed calls after which an instance is suspected.
SUSPECT_FAILURE_COUNT = 2
# Silence after which an instance that the list does not name is marked gone.
MARK_GONE_AFTER_S = 60.0
# Silence after which an instance that is gone is deleted from the table.
REMOVE_AFTER_GONE_S = 600.0
# Largest age of the instance list at which it may cause a removal.
MAX_LIST_AGE_S = 30.0
NEVER = -math.inf


@attrs.define
class MemberEntry:
    """A member with its last contacts.

    Parameters
    ----------
    member : Member
        Merge of all reports of the instance.
    silent_since : float
        Runtime time in seconds at which the entry was added or the instance
        last heard. After a pause of this process, the end of the pause.
    heard_at : float
        Runtime time at which it was last heard, directly or through a peer;
        ``NEVER`` after a pause of this process.
    failures : int
        Number of consecutive failed calls to it.
    failed_at : float
        Runtime time of the last failed call.
    state_sends_left : int
        Number of messages that must still carry its last change of state.
    """

    member: Member
    silent_since: float
    heard_at: float = NEVER
    failures: int = 0
    failed_at: float = NEVER
    state_sends_left: int = 0

    def is_suspect(self, suspect_before: float) -> bool:
        """Return whether the instance has been silent or calls to it fail.

        Parameters
        ----------
        suspect_before : float
            The instance is suspected if it was last seen before this runtime
            time. It is passed in so that a loop over all entries computes it
            only once.
        """
        return (
            self.failures >= SUSPECT_FAILURE_COUNT
            or self.silent_since < suspect_before
        )


@attrs.define
class MemberTable:
    """What this instance knows of the fleet; performs no I/O.

    Parameters
    ----------
    own : Member
        This instance.
    rng : random.Random
        Source of the random choices.
    entries_by_id : dict of str to MemberEntry
        The other instances.
    listed_ids : frozenset of str
        Instances that the platform's list named last.
    listed_at : float
        Runtime time at which the list was last read.
    is_superseded : bool
        Whether a peer reported a newer incarnation of this instance.
    contacts_valid_from : float
        Runtime time of the end of the last pause. Heartbeats from before it
        do not count.
    """

    own: Member
    rng: random.Random = attrs.Factory(random.Random)
    entries_by_id: dict[str, MemberEntry] = attrs.Factory(dict)
    listed_ids: frozenset[str] = frozenset()
    listed_at: float = NEVER
    is_superseded: bool = False
    contacts_valid_from: float = NEVER
    _digest: bytes = b''

    @property
    def members_by_id(self) -> dict[str, Member]:
        """Return all known instances by id, including this one."""
        found = {key: each.member for key, each in self.entries_by_id.items()}
        found[self.own.instance_id] = self.own
        return found

    @property
    def heard_window_s(self) -> float:
        """Return for how many seconds an instance counts as heard."""
        return self._window_s(HEARD_WINDOW_PER_MEMBER_S)

    @property
    def suspect_window_s(self) -> float:
        """Return after how many silent seconds an instance is suspected."""
        return self._window_s(SUSPECT_WINDOW_PER_MEMBER_S)

    def digest(self) -> bytes:
        """Return a digest of all ids, incarnations and states."""
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
        """Merge the reports in a message of a peer.

        Parameters
        ----------
        reports : iterable of MemberReport
            Reports to merge.
        at : float
            Runtime time from which the ages of the reports are counted back.
        """
        for report in reports:
            if report.member.instance_id == self.own.instance_id:
                self._merge_own(report.member)
            else:
                self._merge_other(report.member, at - report.age_s)

    def merge_list(self, listed: Iterable[ListedInstance], now: float) -> None:
        """Merge the platform's instance list.

        The list lags behind the reports of peers. It adds unknown instances
        and changes the state only of suspected ones.
        """
        listed_by_id = {each.instance_id: each for each in listed}
        self.listed_ids = frozenset(listed_by_id)
        self.listed_at = now
        for instance_id, instance in listed_by_id.items():
            if instance_id != self.own.instance_id:
                self._merge_listed(instance, now)

    def advance_heartbeat(self, revision: int, now: float) -> None:
        """Increase the own heartbeat and remove instances silent for long.

        Parameters
        ----------
        revision : int
            Document revision in force, which peers are told.
        now : float
            Runtime time in seconds.
        """
        self.own = attrs.evolve(
            self.own, heartbeat=self.own.heartbeat + 1, revision=revision
        )
        limit = self.suspect_before(now)
        silent = [
            (instance_id, entry)
            for instance_id, entry in self.entries_by_id.items()
            if entry.silent_since < limit
        ]
        for instance_id, entry in silent:
            self._expire(instance_id, entry, now)

    def mark_leaving(self) -> None:
        """Set the state of this instance to ``LEAVING``."""
        self.own = attrs.evolve(
            self.own, state=max(self.own.state, MemberState.LEAVING)
        )
        self._digest = b''

    def record_failed_call(self, instance_id: str, now: float) -> None:
        """Record a failed call to an instance."""
        entry = self.entries_by_id.get(instance_id)
        if entry is not None:
            entry.failures += 1
            entry.failed_at = now

    def reset_contacts(self, now: float) -> None:
        """Discard all contacts after a pause of this process.

        Every instance must be heard again, and its silence is counted from
        now on.
        """
        self.contacts_valid_from = now
        for entry in self.entries_by_id.values():
            entry.heard_at = NEVER
            entry.silent_since = now
            entry.failures = 0

    def is_heard(self, instance_id: str, now: float) -> bool:
        """Return whether an instance was heard within ``heard_window_s``."""
        entry = self.entries_by_id.get(instance_id)
        return entry is not None and now - entry.heard_at <= self.heard_window_s

    def suspect_before(self, now: float) -> float:
        """Return the oldest last contact with which one is not suspected."""
        return now - self.suspect_window_s

    def _window_s(self, per_member_s: float) -> float:
        count = len(self.entries_by_id)
        if count <= MAX_REPORTS_PER_MESSAGE:
            return HEARD_WINDOW_S
        return max(HEARD_WINDOW_S, per_member_s * count)

    def _merge_own(self, report: Member) -> None:
        if report.incarnation > self.own.incarnation:
            self.is_superseded = True
        elif (
            report.incarnation == self.own.incarnation
            and report.state > self.own.state
        ):
            # Peers removed this instance while it was paused. A state never
            # returns to ``LIVE`` within an incarnation, so a new one is needed.
            self.own = attrs.evolve(
                self.own, incarnation=self.own.incarnation + 1
            )
            self._digest = b''

    def _merge_other(self, report: Member, heard_at: float) -> None:
        entry = self.entries_by_id.get(report.instance_id)
        if entry is None:
            entry = MemberEntry(
                report, heard_at, state_sends_left=self._state_change_sends()
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
            entry.state_sends_left = self._state_change_sends()
            self._digest = b''

    def _record_heard(self, entry: MemberEntry, heard_at: float) -> None:
        if heard_at < self.contacts_valid_from:
            return
        entry.heard_at = max(entry.heard_at, heard_at)
        entry.silent_since = max(entry.silent_since, heard_at)
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
            self.entries_by_id[listed.instance_id] = MemberEntry(member, now)
            self._digest = b''
        elif entry.is_suspect(self.suspect_before(now)):
            # The list may still show the state of an earlier incarnation, so
            # it counts only for an instance that is suspected.
            entry.member = attrs.evolve(
                entry.member, state=max(entry.member.state, state)
            )
            self._digest = b''

    def _expire(self, instance_id: str, entry: MemberEntry, now: float) -> None:
        silence = now - entry.silent_since
        if entry.member.state is MemberState.GONE:
            if silence > REMOVE_AFTER_GONE_S:
                self._remove(instance_id)
            return
        is_listed = instance_id in self.listed_ids
        is_list_fresh = now - self.listed_at <= MAX_LIST_AGE_S
        if entry.member.incarnation == 0 and not is_listed:
            self._remove(instance_id)
        elif entry.member.state is MemberState.LEAVING or (
            silence > MARK_GONE_AFTER_S and is_list_fresh and not is_listed
        ):
            entry.member = attrs.evolve(entry.member, state=MemberState.GONE)
            entry.state_sends_left = self._state_change_sends()
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
