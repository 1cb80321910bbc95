"""Burn rates of objectives over paired windows, computed without I/O."""

from collections.abc import Iterable

import attrs

from clementinebank.burn._records import InstanceCounts, ServiceCounts
from clementinebank.burn._windows import (
    BUDGET_WINDOW,
    WINDOW_PAIRS,
    WINDOWS,
    Window,
    WindowPair,
)
from clementinebank.document import Objectives
from clementinebank.metrics import MinuteSlot

SECONDS_PER_MINUTE = 60
OBJECTIVE_KINDS = ('latency', 'coverage')
# Largest burn rate, also reported for a bad request where the target allows
# none; finite because JSON has no infinity.
MAX_BURN_RATE = 1e6


@attrs.frozen
class WindowBurn:
    """Burn of one objective over one window.

    Parameters
    ----------
    window : Window
        Window that the burn is computed over.
    total, bad : int
        Requests, and those that spend the budget.
    rate : float
        Burn rate: 1 spends exactly the budget of the window; 0 without
        requests.
    uncovered_by : tuple of str
        Ids of the instances that started within the window, and addresses of
        those that did not answer.
    """

    window: Window
    total: int
    bad: int
    rate: float
    uncovered_by: tuple[str, ...]

    @property
    def is_covered(self) -> bool:
        """Return whether every instance has recorded the whole window."""
        return not self.uncovered_by


@attrs.frozen
class ObjectiveBurn:
    """Burn of one objective of a service.

    Parameters
    ----------
    kind : str
        ``latency`` or ``coverage``.
    target : float
        Share of requests that must be good.
    burns : tuple of WindowBurn
        One for each window, in the order of ``WINDOWS``.
    series : tuple of (int, int, int)
        Minute, requests and bad requests, oldest first.
    """

    kind: str
    target: float
    burns: tuple[WindowBurn, ...]
    series: tuple[tuple[int, int, int], ...]

    @property
    def budget_left(self) -> float:
        """Return the share of the budget left over the longest window.

        This is negative if more than the budget was spent.
        """
        return 1 - self.burns[-1].rate

    @property
    def burning_pairs(self) -> tuple[WindowPair, ...]:
        """Return the pairs with both burn rates at or above the threshold."""
        rates = {burn.window: burn.rate for burn in self.burns}
        return tuple(
            pair
            for pair in WINDOW_PAIRS
            if min(rates[pair.short], rates[pair.long]) >= pair.threshold
        )


@attrs.frozen
class WorstPart:
    """Data centre or yard with the largest share of bad results.

    Parameters
    ----------
    name : str
        Name of the data centre or yard.
    total, bad : int
        Requests of the data centre or shards of the yard, and the bad ones.
    """

    name: str
    total: int
    bad: int

    @property
    def bad_ratio(self) -> float:
        """Return the share of bad results."""
        return self.bad / self.total if self.total else 0


@attrs.frozen
class ServiceBurn:
    """Burn of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    objectives : tuple of ObjectiveBurn
        Latency and coverage.
    worst_data_centre : WorstPart or None
        Data centre of the instances with the largest share of requests that
        miss an objective; ``None`` if no request missed one.
    worst_yard : WorstPart or None
        Yard with the largest share of missing shards; ``None`` if no shard
        was missing.
    """

    name: str
    objectives: tuple[ObjectiveBurn, ...]
    worst_data_centre: WorstPart | None
    worst_yard: WorstPart | None


@attrs.frozen
class BurnReport:
    """Burn of all services over the instances that answered.

    Parameters
    ----------
    wall_s : float
        Unix time of the report in seconds.
    instances : tuple of InstanceCounts
        Instances that answered.
    unreachable : tuple of str
        Addresses of the instances that did not answer.
    services : tuple of ServiceBurn
        Burn of each service, sorted by name.
    """

    wall_s: float
    instances: tuple[InstanceCounts, ...]
    unreachable: tuple[str, ...]
    services: tuple[ServiceBurn, ...]

    @property
    def uncovered_windows(self) -> dict[str, tuple[str, ...]]:
        """Return the instances that do not cover a window, by window label.

        A window that all instances cover is left out.
        """
        return {
            window.label: uncovered
            for window in WINDOWS
            if (uncovered := self.uncovered_by(window))
        }

    def uncovered_by(self, window: Window) -> tuple[str, ...]:
        """Return the instances that have not recorded the whole window.

        These are ids of instances, or addresses of those that did not answer.
        """
        return _uncovered_by(
            window, self.wall_s, self.instances, self.unreachable
        )


def burn_report(
    instances: Iterable[InstanceCounts],
    unreachable: Iterable[str],
    wall_s: float,
) -> BurnReport:
    """Compute the report from the records of the instances.

    Parameters
    ----------
    instances : iterable of InstanceCounts
        Counts of the instances that answered.
    unreachable : iterable of str
        Addresses of the instances that did not answer.
    wall_s : float
        Unix time of the report in seconds.
    """
    records = tuple(instances)
    unreachable_addresses = tuple(unreachable)
    names = sorted(
        {name for record in records for name in record.services_by_name}
    )
    services = tuple(
        _service_burn(name, records, unreachable_addresses, wall_s)
        for name in names
    )
    return BurnReport(wall_s, records, unreachable_addresses, services)


def _uncovered_by(
    window: Window,
    wall_s: float,
    instances: tuple[InstanceCounts, ...],
    unreachable: tuple[str, ...],
) -> tuple[str, ...]:
    start = wall_s - window.minutes * SECONDS_PER_MINUTE
    late = [
        each.instance_id for each in instances if each.recording_since > start
    ]
    return (*late, *unreachable)


def _service_burn(
    name: str,
    instances: tuple[InstanceCounts, ...],
    unreachable: tuple[str, ...],
    wall_s: float,
) -> ServiceBurn:
    records = [
        record for record in instances if name in record.services_by_name
    ]
    # While instances have different revisions, the newest objectives apply.
    newest = max(records, key=lambda record: record.revision)
    objectives = newest.services_by_name[name].objectives
    minute = int(wall_s // SECONDS_PER_MINUTE)
    slots = [
        slot
        for record in records
        for slot in _slots_in_budget_window(
            record.services_by_name[name], minute
        )
    ]
    uncovered = {
        window: _uncovered_by(window, wall_s, instances, unreachable)
        for window in WINDOWS
    }
    return ServiceBurn(
        name,
        tuple(
            _objective_burn(kind, objectives, slots, minute, uncovered)
            for kind in OBJECTIVE_KINDS
        ),
        _worst(_data_centre_counts(name, records, minute)),
        _worst(_yard_counts(slots)),
    )


def _slots_in_budget_window(
    record: ServiceCounts, minute: int
) -> list[MinuteSlot]:
    oldest = minute - BUDGET_WINDOW.minutes
    return [slot for slot in record.slots if slot.minute > oldest]


def _objective_burn(
    kind: str,
    objectives: Objectives,
    slots: list[MinuteSlot],
    minute: int,
    uncovered: dict[Window, tuple[str, ...]],
) -> ObjectiveBurn:
    target = (
        objectives.latency_ratio
        if kind == 'latency'
        else objectives.coverage_ratio
    )
    counts: dict[int, tuple[int, int]] = {}
    for slot in slots:
        total, bad = counts.get(slot.minute, (0, 0))
        counts[slot.minute] = (total + slot.total, bad + _bad_count(kind, slot))
    series = tuple(
        (slot_minute, *counts[slot_minute]) for slot_minute in sorted(counts)
    )
    burns = []
    for window in WINDOWS:
        total, bad = _counts_after(series, minute - window.minutes)
        rate = _burn_rate(total, bad, target)
        burns.append(WindowBurn(window, total, bad, rate, uncovered[window]))
    return ObjectiveBurn(kind, target, tuple(burns), series)


def _counts_after(
    series: tuple[tuple[int, int, int], ...], start_minute: int
) -> tuple[int, int]:
    inside = [point for point in series if point[0] > start_minute]
    return sum(point[1] for point in inside), sum(point[2] for point in inside)


def _bad_count(kind: str, slot: MinuteSlot) -> int:
    return slot.slow if kind == 'latency' else slot.incomplete


def _burn_rate(total: int, bad: int, target: float) -> float:
    if not total or not bad:
        return 0
    allowed = total * (1 - target)
    return min(bad / allowed, MAX_BURN_RATE) if allowed else MAX_BURN_RATE


def _data_centre_counts(
    name: str, records: list[InstanceCounts], minute: int
) -> dict[str, tuple[int, int]]:
    counts: dict[str, tuple[int, int]] = {}
    for record in records:
        total, bad = counts.get(record.data_centre, (0, 0))
        for slot in _slots_in_budget_window(
            record.services_by_name[name], minute
        ):
            total += slot.total
            # A request may be both slow and incomplete, so that the larger
            # count is the least number of bad requests.
            bad += max(slot.slow, slot.incomplete)
        counts[record.data_centre] = (total, bad)
    return counts


def _yard_counts(slots: list[MinuteSlot]) -> dict[str, tuple[int, int]]:
    counts: dict[str, tuple[int, int]] = {}
    for slot in slots:
        for yard, asked in slot.shards_by_yard.items():
            total, bad = counts.get(yard, (0, 0))
            missing = slot.missing_by_yard[yard]
            counts[yard] = (total + asked, bad + missing)
    return counts


def _worst(counts: dict[str, tuple[int, int]]) -> WorstPart | None:
    parts = [WorstPart(name, *pair) for name, pair in counts.items()]
    worst = max(
        parts, key=lambda part: (part.bad_ratio, part.name), default=None
    )
    return worst if worst and worst.bad else None
