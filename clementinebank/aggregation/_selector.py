"""Choice of the aggregators that may gather a request."""

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from clementinebank.forwarding import LinkDelays
from clementinebank.leafs import LeafRecord
from clementinebank.relay import FleetMember
from clementinebank.validation import Address

# A region gathers a request if it holds leafs of at least this share of its
# services; the parts of the others come from another region. A region that
# loses some of its leafs keeps its aggregators, which hold connections.
MIN_COVERED_SHARE = 0.5
# Aggregators that are asked for one request before the instance gathers the
# answers itself.
MAX_CANDIDATES = 2
# An aggregator that failed or stayed silent isn't asked for this time, twice as
# long after each further failure.
PAUSE_S = 0.25
MAX_PAUSE_S = 8.0


@attrs.define
class _Pause:
    """Time for which an aggregator isn't asked, in runtime seconds."""

    until: float = 0
    failures: int = 0


@attrs.define(eq=False)
class AggregatorSelector:
    """Selector of the aggregators for the requests of this instance.

    Load patterns that it answers: an aggregator that is silent, killed or
    overloaded is left out for a time that grows, so that few requests meet
    it; requests spread over aggregators by their processors, so that a
    small one isn't overloaded while a large one is idle.

    Parameters
    ----------
    address : Address
        Where this instance answers other instances.
    delays : LinkDelays
        Estimates of the link delays to the data centres.
    rng : random.Random
        Source of randomness for the order of the aggregators.
    """

    address: Address
    delays: LinkDelays
    rng: random.Random = attrs.Factory(random.Random)
    _members_by_data_centre: Mapping[str, tuple[FleetMember, ...]] = (
        attrs.Factory(dict)
    )
    _services_by_region: dict[str, set[str]] = attrs.Factory(dict)
    _pauses_by_address: dict[Address, _Pause] = attrs.Factory(dict)

    def update(
        self,
        members_by_data_centre: Mapping[str, tuple[FleetMember, ...]],
        records: Iterable[LeafRecord],
        evacuated_data_centres: Collection[str] = (),
    ) -> None:
        """Apply the registered aggregators and leafs.

        Parameters
        ----------
        members_by_data_centre : mapping of str to tuple of FleetMember
            Aggregators of each data centre.
        records : iterable of LeafRecord
            Registered leafs; draining ones are ignored.
        evacuated_data_centres : collection of str
            Data centres whose leafs get no requests; their aggregators aren't
            asked, since all leafs are far from them.
        """
        self._members_by_data_centre = {
            data_centre: members
            for data_centre, members in members_by_data_centre.items()
            if data_centre not in evacuated_data_centres
        }
        known = {
            member.address
            for members in members_by_data_centre.values()
            for member in members
        }
        for address in self._pauses_by_address.keys() - known:
            self._pauses_by_address.pop(address)
        self._services_by_region = {}
        for record in records:
            is_evacuated = record.data_centre in evacuated_data_centres
            if not record.is_draining and not is_evacuated:
                self._services_by_region.setdefault(
                    self._region_of(record.data_centre), set()
                ).add(record.service)

    def addresses_for(self, services: Iterable[str]) -> set[Address]:
        """Return the aggregators of the regions that hold the services."""
        return {
            member.address
            for members in self._covering_members(services).values()
            for member in members
        }

    def candidates(
        self,
        services: Iterable[str],
        now: float,
        regions: Collection[str] | None = None,
    ) -> list[tuple[Address, float]]:
        """Return the aggregators to ask for a request, best first.

        Parameters
        ----------
        services : iterable of str
            Services whose parts make the answer.
        now : float
            Runtime time in seconds.
        regions : collection of str or None
            Regions that may run the request, and to which its body may be
            sent; ``None`` allows all.

        Returns
        -------
        list of (Address, float)
            Addresses with the one-way delay to each in seconds; empty if this
            instance should gather the answers itself, because it is an
            aggregator or no data centre of its region has one.
        """
        members_by_data_centre = self._covering_members(services)
        own = members_by_data_centre.get(self.delays.data_centre, ())
        if self.address in {member.address for member in own}:
            return []
        if self._is_own_region_without_members(services):
            return []
        usable = [
            (self.delays.delay_s(data_centre), -self._weight(member), member)
            for data_centre, members in members_by_data_centre.items()
            for member in members
            if not self._is_paused(member.address, now)
            and (regions is None or self._region_of(data_centre) in regions)
        ]
        usable.sort(key=lambda each: each[:2])
        return [
            (member.address, delay_s)
            for delay_s, _, member in usable[:MAX_CANDIDATES]
        ]

    def on_failure(self, address: Address, now: float) -> float:
        """Pause an aggregator that failed; return the pause in seconds."""
        pause = self._pauses_by_address.setdefault(address, _Pause())
        pause_s = min(MAX_PAUSE_S, PAUSE_S * 2**pause.failures)
        pause.failures = min(pause.failures + 1, 8)
        pause.until = now + pause_s
        return pause_s

    def on_success(self, address: Address) -> None:
        """End the pause of an aggregator that answered."""
        self._pauses_by_address.pop(address, None)

    def _is_paused(self, address: Address, now: float) -> bool:
        pause = self._pauses_by_address.get(address)
        return pause is not None and now < pause.until

    def _covering_members(
        self, services: Iterable[str]
    ) -> dict[str, tuple[FleetMember, ...]]:
        """Return the aggregators of each data centre of a covering region."""
        regions = self._covering_regions(services)
        return {
            data_centre: members
            for data_centre, members in self._members_by_data_centre.items()
            if self._region_of(data_centre) in regions
        }

    def _covering_regions(self, services: Iterable[str]) -> set[str]:
        """Return the regions with leafs of most of the services."""
        required = set(services)
        return {
            region
            for region, held in self._services_by_region.items()
            if len(required & held) >= MIN_COVERED_SHARE * len(required)
        }

    def _is_own_region_without_members(self, services: Iterable[str]) -> bool:
        """Return whether the own region has the leafs, but no aggregators."""
        own_region = self._region_of(self.delays.data_centre)
        return own_region in self._covering_regions(services) and not any(
            members and self._region_of(data_centre) == own_region
            for data_centre, members in self._members_by_data_centre.items()
        )

    def _region_of(self, data_centre: str) -> str:
        return self.delays.region_of(data_centre)

    def _weight(self, member: FleetMember) -> float:
        """Return a random sort key; large members are first more often."""
        return float(self.rng.random() ** (1 / member.cores))
