"""Windows of the burn report."""

import attrs


@attrs.frozen
class Window:
    """Window of a burn rate.

    Parameters
    ----------
    label : str
        Name in reports.
    minutes : int
        Length in minutes, the running one included.
    """

    label: str
    minutes: int


@attrs.frozen
class WindowPair:
    """A short and a long window that must burn together.

    The long window shows that enough of the budget is spent, the short one
    that it is still being spent.

    Parameters
    ----------
    short, long : Window
        The windows.
    threshold : float
        Burn rate from which both count as burning. At 14.4 an hour spends
        2 % of a budget of 30 days, at 6 six hours spend 5 %.
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
# The longest window that instances can cover; the budget is stated over it.
BUDGET_WINDOW = WINDOWS[-1]
