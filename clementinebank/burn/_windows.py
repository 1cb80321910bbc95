"""Windows that the burn report computes burn rates over."""

import attrs


@attrs.frozen
class Window:
    """Period before the report over which a burn rate is computed.

    Parameters
    ----------
    label : str
        Name in reports.
    minutes : int
        Length in minutes, including the minute that is still running.
    """

    label: str
    minutes: int


@attrs.frozen
class WindowPair:
    """A short and a long window that are reported if both are burning.

    The long window shows that enough of the budget is spent, the short one
    that it is still being spent.

    Parameters
    ----------
    short, long : Window
        The two windows.
    threshold : float
        Burn rate from which a window counts as burning. At a rate of 14.4,
        one hour spends 2 % of a budget of 30 days; at a rate of 6, six hours
        spend 5 %.
    """

    short: Window
    long: Window
    threshold: float


WINDOW_PAIRS = (
    WindowPair(Window('5 min', 5), Window('1 h', 60), 14.4),
    WindowPair(Window('30 min', 30), Window('6 h', 360), 6),
)
WINDOWS = tuple(
    window for pair in WINDOW_PAIRS for window in (pair.short, pair.long)
)
# The longest window that instances keep counts for. The budget left is stated
# over it.
BUDGET_WINDOW = WINDOWS[-1]
