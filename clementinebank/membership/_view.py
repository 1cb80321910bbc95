"""One instance's view of the fleet, and its choice of peers and roles."""

import heapq
import math
from collections import Counter
from operator import attrgetter

import attrs

from clementinebank.membership._choice import rendezvous_order
from clementinebank.membership._member import (
    Member,
    MemberReport,
    MemberState,
)
from clementinebank.membership._table import (
    HEARD_WINDOW_S,
    MAX_REPORTS_PER_MESSAGE,
    NEVER,
    SUSPECT_FAILURE_COUNT,
    MemberEntry,
    MemberTable,
)

# Number of instances per data centre that watch the document's key.
WATCHERS_PER_DATA_CENTRE = 2
# Fraction of the random choices that are limited to the own data centre.
LOCAL_SHARE = 0.5
# Fraction of the random choices that include suspected instances. After a
# partition each side suspects the other; without these choices the two sides
# would never contact each other again.
SUSPECT_SHARE = 0.25
HEARD_AT = attrgetter('heard_at')


@attrs.define
class MembershipView(MemberTable):
    """Table of the instances with the choices made from it; no I/O."""

    def hears_majority(self, now: float) -> bool:
        """Return whether more than half of the live instances are heard.

        Suspected instances count as live, because a partition makes all
        instances of the other side suspects. In a large fleet a single
        instance is heard rarely, so ``heard_window_s`` is long. An instance
        therefore counts as heard only if some instance of its data centre was
        heard within ``HEARD_WINDOW_S``, so that a partition between data
        centres shows within that time.
        """
        window_s = self.heard_window_s
        live = 1
        heard_by_data_centre: Counter[str] = Counter()
        heard_data_centres = {self.own.data_centre}
        for entry in self.entries_by_id.values():
            if entry.member.state is not MemberState.LIVE:
                continue
            live += 1
            silence = now - entry.heard_at
            if silence <= window_s:
                heard_by_data_centre[entry.member.data_centre] += 1
            if silence <= HEARD_WINDOW_S:
                heard_data_centres.add(entry.member.data_centre)
        heard = 1 + sum(
            heard_by_data_centre[name] for name in heard_data_centres
        )
        return self._has_list_or_peer() and 2 * heard > live

    def watcher_order(self, data_centre: str, now: float) -> list[str]:
        """Return a data centre's live, unsuspected ids in rendezvous order."""
        limit = self.suspect_before(now)
        usable = [
            instance_id
            for instance_id, entry in self.entries_by_id.items()
            if entry.member.data_centre == data_centre
            and entry.member.state is MemberState.LIVE
            and not entry.is_suspect(limit)
        ]
        if data_centre == self.own.data_centre:
            if self.own.state is MemberState.LIVE:
                usable.append(self.own.instance_id)
        return rendezvous_order('watcher', usable)

    def watchers(self, data_centre: str, now: float) -> list[str]:
        """Return a data centre's instances that watch the document's key."""
        return self.watcher_order(data_centre, now)[:WATCHERS_PER_DATA_CENTRE]

    def reading_sources(self, now: float) -> list[Member]:
        """Return peers from which this instance gets readings of the head.

        The watchers ask nobody. A second tier, the ranks after the watchers,
        asks the watchers, and the other instances ask the second tier. It has
        about the square root of the number of instances in the data centre,
        so a reading reaches every instance in two calls, and the calls to one
        instance grow only with the square root of that number.
        """
        ordered = self.watcher_order(self.own.data_centre, now)
        watchers = ordered[:WATCHERS_PER_DATA_CENTRE]
        second_tier = ordered[: len(watchers) + math.isqrt(len(ordered))]
        second_tier = second_tier[len(watchers) :]
        own_id = self.own.instance_id
        if own_id in watchers:
            return []
        chosen = watchers if own_id in second_tier else second_tier or watchers
        return [self.entries_by_id[each].member for each in chosen]

    def choose_peers(self, count: int, now: float) -> list[Member]:
        """Return at most ``count`` different random peers.

        About half of them are in other data centres.
        """
        limit = self.suspect_before(now)
        entries = [
            entry
            for entry in self.entries_by_id.values()
            if entry.member.state is not MemberState.GONE
        ]
        # Inlined ``is_suspect``: its calls took a fifth of the time at 3,700
        # members.
        usable = [
            entry.member
            for entry in entries
            if entry.silent_since >= limit
            and entry.failures < SUSPECT_FAILURE_COUNT
        ]
        chosen: dict[str, Member] = {}
        for _ in range(2 * count):
            includes_suspects = self.rng.random() < SUSPECT_SHARE or not usable
            member = self._choose_random(
                [entry.member for entry in entries]
                if includes_suspects
                else usable
            )
            if member is not None and len(chosen) < count:
                chosen[member.instance_id] = member
        return list(chosen.values())

    def choose_reports(self, now: float) -> list[MemberReport]:
        """Return at most ``MAX_REPORTS_PER_MESSAGE`` reports for one message.

        Recent changes of state come first, then the instances heard most
        recently, then a random sample, through which views that differ become
        equal in the end.
        """
        limit = self.suspect_before(now)
        entries = [
            entry
            for entry in self.entries_by_id.values()
            if entry.heard_at != NEVER
            and (
                (
                    entry.silent_since >= limit
                    and entry.failures < SUSPECT_FAILURE_COUNT
                )
                or entry.member.state is MemberState.GONE
            )
        ]
        if len(entries) > MAX_REPORTS_PER_MESSAGE:
            entries = self._select_entries(entries)
        return [
            MemberReport(entry.member, max(0, now - entry.heard_at))
            for entry in entries
        ]

    def _select_entries(self, entries: list[MemberEntry]) -> list[MemberEntry]:
        changed = [entry for entry in entries if entry.state_sends_left][
            :MAX_REPORTS_PER_MESSAGE
        ]
        for entry in changed:
            entry.state_sends_left -= 1
        recent = heapq.nlargest(
            MAX_REPORTS_PER_MESSAGE // 2, entries, key=HEARD_AT
        )
        sample = self.rng.sample(entries, MAX_REPORTS_PER_MESSAGE)
        chosen = {
            each.member.instance_id: each
            for each in (*changed, *recent, *sample)
        }
        return list(chosen.values())[:MAX_REPORTS_PER_MESSAGE]

    def _has_list_or_peer(self) -> bool:
        # Before the list was read or a peer heard, only this instance is known,
        # and it alone would count as a majority of one.
        return self.listed_at != NEVER or bool(self.entries_by_id)

    def _choose_random(self, members: list[Member]) -> Member | None:
        if self.rng.random() < LOCAL_SHARE:
            own = self.own.data_centre
            local = [each for each in members if each.data_centre == own]
            members = local or members
        return self.rng.choice(members) if members else None
