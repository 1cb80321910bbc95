"""Placement that weighs the expected loss at home against the price to leave.

Load patterns that it answers: a data centre whose demand rises above what its
own leafs serve in time, while others have room; leafs at home that are slow or
refuse; two data centres that are full at the same time, which must not send
each other their work.
"""

from collections.abc import Mapping, Sequence
from math import exp, inf
from statistics import median

import attrs
from eliot import log_message

from clementinebank.placement._settings import GroupValue, PlacementSettings

# Time in which the share of the calls that leave rises from 0 to 1 while the
# gain equals the price; a larger gain shortens it. It is longer than the time
# until the load of the leafs shows in their responses.
RISE_TIME_S = 1.0
# Bound of the factor by which a large gain shortens the rise.
MAX_RISE_FACTOR = 20.0
FALL_TIME_S = 3.0
# A change of the share counts at most this time since the one before, so that
# rare calls don't move it by stale knowledge.
MAX_STEP_S = 0.25
# Leaving begins once the gain is above this share of the price, and the share
# falls once the gain is below minus this share of it.
HYSTERESIS_SHARE = 0.5
# Weight of a new response in the average time of a place, and the time without
# responses after which the average counts half.
OBSERVED_WEIGHT = 0.2
OBSERVED_HALF_LIFE_S = 1.0
# Loss at another place counts this often: a call that leaves makes one of that
# place's own calls late about as often as it is late there itself.
LOSS_AWAY_FACTOR = 1.25
# Least price that the rise and the hysteresis are measured with.
MIN_PRICE = 0.001
# Saved permissions to leave. More would let a burst leave after a quiet time.
MAX_CREDIT = 2.0
# Least interval of the log lines of one group in seconds.
LOG_INTERVAL_S = 1.0


@attrs.frozen
class PlacementOption:
    """Leaf that may get a call.

    Parameters
    ----------
    leaf_id : str
        The leaf.
    price : float
        Price of a call to it, as a share of the worth of a whole answer.
    expected_s : float
        Expected time until its response, in seconds, with link and queue.
    unserved_share : float
        Share of the recent calls to it that were refused or failed, 0 to 1.
    """

    leaf_id: str
    price: float
    expected_s: float
    unserved_share: float = 0


@attrs.define
class ObservedTime:
    """Average time until the responses from one place, in seconds.

    Without new responses it loses its weight, so that a place that was slow is
    tried again.
    """

    average_s: float = 0
    updated_at: float = -inf

    def add(self, elapsed_s: float, now: float) -> None:
        """Add the time of one response."""
        current_s = self.current_s(now)
        self.average_s = current_s + OBSERVED_WEIGHT * (elapsed_s - current_s)
        self.updated_at = now

    def current_s(self, now: float) -> float:
        """Return the average, reduced by its age."""
        age = (now - self.updated_at) / OBSERVED_HALF_LIFE_S
        return float(self.average_s * 0.5**age)


@attrs.define
class SpillState:
    """How much of the work of one group leaves.

    Parameters
    ----------
    share : float
        Share of the calls that may leave, 0 to 1.
    credit : float
        Calls that may leave now.
    gain : float
        Last expected gain of leaving, after its price.
    updated_at : float
        Runtime time in seconds of the last change.
    logged_at : float
        Runtime time in seconds of the last log line.
    observed_by_price : dict of float to ObservedTime
        Times of the responses of the places of each price.
    home_price : float or None
        Price of a call that stays at home, ``None`` if the last decision had
        leafs of one place only.
    """

    share: float = 0
    credit: float = 0
    gain: float = 0
    updated_at: float = -inf
    logged_at: float = -inf
    observed_by_price: dict[float, ObservedTime] = attrs.Factory(dict)
    home_price: float | None = None

    def update(self, gain: float, price: float, now: float) -> None:
        """Move the share by the gain of leaving.

        Parameters
        ----------
        gain : float
            Expected gain of one call that leaves, after its price.
        price : float
            Price of the call.
        now : float
            Runtime time in seconds.
        """
        step_s = min(MAX_STEP_S, max(0, now - self.updated_at))
        scale = max(MIN_PRICE, price)
        begin_gain = 0 if self.share else HYSTERESIS_SHARE * scale
        if gain > begin_gain:
            factor = min(MAX_RISE_FACTOR, gain / scale)
            self.share = min(1, self.share + factor * step_s / RISE_TIME_S)
        elif gain < -HYSTERESIS_SHARE * scale:
            self.share = max(0, self.share - step_s / FALL_TIME_S)
        self.gain = gain
        self.updated_at = now


def expected_loss(option: PlacementOption, group: GroupValue) -> float:
    """Return the expected loss of worth of a call to an option.

    The time until the response is taken as exponential, as the time in a busy
    queue is: it exceeds the objective with ``exp(-objective / expected)``.

    Returns
    -------
    float
        Share of the worth of the whole answer, 0 to 1.
    """
    late = exp(-group.objective_s / option.expected_s)
    served_in_time = (1 - option.unserved_share) * (1 - late)
    return group.weight * (1 - served_in_time)


@attrs.define(eq=False)
class SpillPlacement:
    """Placement by expected loss and price, with a bounded and damped flow.

    The leafs of least price are at home. Calls leave only while the expected
    loss at home exceeds that elsewhere by more than the price; the share that
    leaves follows this gain slowly, with a band in which it stays. Without any
    leaf at home that may be called, nothing is held back.

    Parameters
    ----------
    settings : PlacementSettings
        Prices and bounds.
    values_by_group : mapping of str to GroupValue
        Worth of the answers of each group; groups without an entry aren't
        held back.
    states_by_group : dict of str to SpillState
        How much of each group leaves.
    home_count, away_count : int
        Calls placed at home and elsewhere so far, where both were possible.
    """

    settings: PlacementSettings
    values_by_group: Mapping[str, GroupValue] = attrs.Factory(dict)
    states_by_group: dict[str, SpillState] = attrs.Factory(dict)
    home_count: int = 0
    away_count: int = 0

    def set_values(self, values_by_group: Mapping[str, GroupValue]) -> None:
        """Replace the worth of all groups and forget the others."""
        self.values_by_group = values_by_group
        for group_id in self.states_by_group.keys() - values_by_group.keys():
            self.states_by_group.pop(group_id)

    def permitted(
        self, group_id: str, options: Sequence[PlacementOption], now: float
    ) -> Sequence[PlacementOption]:
        """Return the options to which the next call may be placed.

        Parameters
        ----------
        group_id : str
            Group of the options.
        options : sequence of PlacementOption
            Leafs that could take the call.
        now : float
            Runtime time in seconds.

        Returns
        -------
        sequence of PlacementOption
            All options, or only those at home.
        """
        group = self.values_by_group.get(group_id)
        home_price = min((each.price for each in options), default=0)
        home = [each for each in options if each.price == home_price]
        if group is None:
            return options
        state = self.states_by_group.setdefault(group_id, SpillState())
        is_decided = len(home) < len(options)
        state.home_price = home_price if is_decided else None
        if not is_decided:
            return options
        gain, price = _leaving_gain(options, group, state, now)
        previous_share = state.share
        state.update(gain, price, now)
        self._log_change(group_id, state, previous_share, now)
        return options if gain > 0 and state.credit >= 1 else home

    def on_placed(self, group_id: str, price: float) -> None:
        """Count a call that was placed; one that leaves uses a permission.

        Parameters
        ----------
        group_id : str
            Group of the called leaf.
        price : float
            Price of a call to it.
        """
        state = self.states_by_group.get(group_id)
        if state is None or state.home_price is None:
            return
        share = min(state.share, self.settings.max_away_share)
        state.credit = min(MAX_CREDIT, state.credit + share)
        if price == state.home_price:
            self.home_count += 1
        else:
            self.away_count += 1
            state.credit = max(0, state.credit - 1)

    def on_response(
        self, group_id: str, price: float, elapsed_s: float, now: float
    ) -> None:
        """Record the time of one response.

        Parameters
        ----------
        group_id : str
            Group of the leaf; one that isn't held back is ignored.
        price : float
            Price of a call to the leaf.
        elapsed_s : float
            Time from the call to its response in seconds.
        now : float
            Runtime time in seconds.
        """
        state = self.states_by_group.get(group_id)
        if state is not None:
            state.observed_by_price.setdefault(price, ObservedTime()).add(
                elapsed_s, now
            )

    def _log_change(
        self, group_id: str, state: SpillState, previous: float, now: float
    ) -> None:
        """Log the begin and the end of leaving, at a bounded rate."""
        is_changed = (previous > 0) != (state.share > 0)
        if is_changed and now >= state.logged_at + LOG_INTERVAL_S:
            state.logged_at = now
            log_message(
                message_type='placement:changed',
                group=group_id,
                leaves=state.share > 0,
                gain=round(state.gain, 4),
                away=self.away_count,
                home=self.home_count,
            )


def _leaving_gain(
    options: Sequence[PlacementOption],
    group: GroupValue,
    state: SpillState,
    now: float,
) -> tuple[float, float]:
    """Return the gain of one call that leaves, after its price, and the price.

    A place counts with the median of its leafs, because the best leaf of one
    busy place is better than that of another by chance alone. What its
    responses showed counts if it is worse: stated loads are old where queues
    grow, and two full places would exchange their work.
    """
    options_by_price: dict[float, list[PlacementOption]] = {}
    for option in options:
        options_by_price.setdefault(option.price, []).append(option)
    losses_by_price = {
        price: _place_loss(placed, group, state.observed_by_price, now)
        for price, placed in options_by_price.items()
    }
    home_price = min(losses_by_price)
    loss_away, price = min(
        (LOSS_AWAY_FACTOR * loss + price - home_price, price - home_price)
        for price, loss in losses_by_price.items()
        if price > home_price
    )
    return losses_by_price[home_price] - loss_away, price


def _place_loss(
    placed: Sequence[PlacementOption],
    group: GroupValue,
    observed_by_price: Mapping[float, ObservedTime],
    now: float,
) -> float:
    """Return the expected loss of a call to the leafs of one price."""
    observed = observed_by_price.get(placed[0].price)
    observed_s = observed.current_s(now) if observed else 0
    return median(
        expected_loss(
            attrs.evolve(each, expected_s=max(each.expected_s, observed_s)),
            group,
        )
        for each in placed
    )
