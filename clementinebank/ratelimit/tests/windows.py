"""Count of the arrivals at a leaf in sliding windows, for tests."""

WINDOW_S = 4.0


def greatest_count(arrivals, since):
    """Return the most arrivals in a window that begins at an arrival.

    Parameters
    ----------
    arrivals : list of float
        Times of the arrivals in seconds, rising.
    since : float
        Time of the first window in seconds.
    """
    later = [each for each in arrivals if each >= since]
    end = 0
    greatest = 0
    for index, begin in enumerate(later):
        while end < len(later) and later[end] < begin + WINDOW_S:
            end += 1
        greatest = max(greatest, end - index)
    return greatest
