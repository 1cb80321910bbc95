"""Burn rates of the objectives over paired windows, without I/O."""

from collections.abc import Iterable

import attrs

from clementinebank.burn._records import InstanceRecord, ServiceRecord
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
OBJECTIVES = ('latency', 'coverage')
# Rate where the target allows no bad request at all; JSON has no infinity.
MAX_RATE = 1e6


@attrs.frozen
class WindowBurn:
    """Burn of one objective over one window.

    Parameters
    ----------
    window : Window
        The window.
    total, bad : int
        Requests, and those that spend the budget.
    rate : float
        Multiple of the rate that spends the budget exactly; 0 without
        requests.
    uncovered_by : tuple of str
        Instances that have not recorded the whole window.
    """

    window: Window
    total: int
    bad: int
    rate: float
    uncovered_by: tuple[str, ...]

    @property
    def is_covered(self) -> bool:
        """Return whether every live instance has recorded the window."""
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
        """Return the share of the budget left over the longest window."""
        return 1 - self.burns[-1].rate

    @property
    def burning_pairs(self) -> tuple[WindowPair, ...]:
        """Return the pairs whose windows both reach the threshold."""
        rates = {burn.window: burn.rate for burn in self.burns}
        return tuple(
            pair
            for pair in WINDOW_PAIRS
            if min(rates[pair.short], rates[pair.long]) >= pair.threshold
        )


@attrs.frozen
class Worst:
    """Part with the largest share of bad results.

    Parameters
    ----------
    name : str
        Name of the part.
    total, bad : int
        Requests or shards, and the bad ones.
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
    worst_data_centre : Worst or None
        Data centre of the instances with the largest share of requests that
        miss an objective; ``None`` if all are good.
    worst_yard : Worst or None
        Yard with the largest share of missing shards, likewise.
    """

    name: str
    objectives: tuple[ObjectiveBurn, ...]
    worst_data_centre: Worst | None
    worst_yard: Worst | None


@attrs.frozen
class BurnReport:
    """Burn of all services over the instances that answered.

    Parameters
    ----------
    wall_s : float
        Unix time of the report in seconds.
    instances : tuple of InstanceRecord
        Instances that answered.
    unreachable : tuple of str
        Addresses that did not.
    services : tuple of ServiceBurn
        Services by name.
    """

    wall_s: float
    instances: tuple[InstanceRecord, ...]
    unreachable: tuple[str, ...]
    services: tuple[ServiceBurn, ...]

    @property
    def uncovered_windows(self) -> dict[str, tuple[str, ...]]:
        """Return the instances that do not cover a window, by its label."""
        return {
            window.label: uncovered
            for window in WINDOWS
            if (uncovered := self.uncovered_by(window))
        }

    def uncovered_by(self, window: Window) -> tuple[str, ...]:
        """Return who has not recorded a window as a whole."""
        return _uncovered_by(
            window, self.wall_s, self.instances, self.unreachable
        )


def burn_report(
    instances: Iterable[InstanceRecord],
    unreachable: Iterable[str],
    wall_s: float,
) -> BurnReport:
    """Compute the report from the records of the instances.

    Parameters
    ----------
    instances : iterable of InstanceRecord
        What the instances have recorded.
    unreachable : iterable of str
        Addresses that were asked and did not answer.
    wall_s : float
        Unix time in seconds.
    """
    known = tuple(instances)
    missing = tuple(unreachable)
    names = sorted({name for each in known for name in each.services_by_name})
    services = tuple(
        _service_burn(name, known, missing, wall_s) for name in names
    )
    return BurnReport(wall_s, known, missing, services)


def _uncovered_by(
    window: Window,
    wall_s: float,
    instances: tuple[InstanceRecord, ...],
    unreachable: tuple[str, ...],
) -> tuple[str, ...]:
    start = wall_s - window.minutes * SECONDS_PER_MINUTE
    late = [
        each.instance_id for each in instances if each.recording_since > start
    ]
    return (*late, *unreachable)


def _service_burn(
    name: str,
    instances: tuple[InstanceRecord, ...],
    unreachable: tuple[str, ...],
    wall_s: float,
) -> ServiceBurn:
    holders = [each for each in instances if name in each.services_by_name]
    newest = max(holders, key=lambda each: each.revision)
    goals = newest.services_by_name[name].objectives
    minute = int(wall_s // SECONDS_PER_MINUTE)
    slots = [
        slot
        for each in holders
        for slot in _recent(each.services_by_name[name], minute)
    ]
    uncovered = {
        window: _uncovered_by(window, wall_s, instances, unreachable)
        for window in WINDOWS
    }
    return ServiceBurn(
        name,
        tuple(
            _objective_burn(kind, goals, slots, minute, uncovered)
            for kind in OBJECTIVES
        ),
        _worst(_data_centre_counts(name, holders, minute)),
        _worst(_yard_counts(slots)),
    )


def _recent(record: ServiceRecord, minute: int) -> list[MinuteSlot]:
    oldest = minute - BUDGET_WINDOW.minutes
    return [slot for slot in record.slots if slot.minute > oldest]


def _objective_burn(
    kind: str,
    goals: Objectives,
    slots: list[MinuteSlot],
    minute: int,
    uncovered: dict[Window, tuple[str, ...]],
) -> ObjectiveBurn:
    target = goals.latency_ratio if kind == 'latency' else goals.coverage_ratio
    counts: dict[int, tuple[int, int]] = {}
    for slot in slots:
        total, bad = counts.get(slot.minute, (0, 0))
        counts[slot.minute] = (total + slot.total, bad + _bad(kind, slot))
    series = tuple((at, *counts[at]) for at in sorted(counts))
    burns = []
    for window in WINDOWS:
        total, bad = _sums(series, minute - window.minutes)
        rate = _rate(total, bad, target)
        burns.append(WindowBurn(window, total, bad, rate, uncovered[window]))
    return ObjectiveBurn(kind, target, tuple(burns), series)


def _sums(
    series: tuple[tuple[int, int, int], ...], start: int
) -> tuple[int, int]:
    inside = [point for point in series if point[0] > start]
    return sum(point[1] for point in inside), sum(point[2] for point in inside)


def _bad(kind: str, slot: MinuteSlot) -> int:
    return slot.slow if kind == 'latency' else slot.incomplete


def _rate(total: int, bad: int, target: float) -> float:
    if not total or not bad:
        return 0
    allowed = total * (1 - target)
    return min(bad / allowed, MAX_RATE) if allowed else MAX_RATE


def _data_centre_counts(
    name: str, holders: list[InstanceRecord], minute: int
) -> dict[str, tuple[int, int]]:
    counts: dict[str, tuple[int, int]] = {}
    for each in holders:
        total, bad = counts.get(each.data_centre, (0, 0))
        for slot in _recent(each.services_by_name[name], minute):
            total += slot.total
            bad += max(slot.slow, slot.incomplete)
        counts[each.data_centre] = (total, bad)
    return counts


def _yard_counts(slots: list[MinuteSlot]) -> dict[str, tuple[int, int]]:
    counts: dict[str, tuple[int, int]] = {}
    for slot in slots:
        for yard, asked in slot.shards_by_yard.items():
            total, bad = counts.get(yard, (0, 0))
            missing = slot.missing_by_yard[yard]
            counts[yard] = (total + asked, bad + missing)
    return counts


def _worst(counts: dict[str, tuple[int, int]]) -> Worst | None:
    parts = [Worst(name, *pair) for name, pair in counts.items()]
    worst = max(
        parts, key=lambda part: (part.bad_ratio, part.name), default=None
    )
    return worst if worst and worst.bad else None
