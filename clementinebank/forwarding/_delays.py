"""Link delays to data centres, learned from connects."""

from collections.abc import Mapping

import attrs

# Estimates until the first connect, as in the defaults of the document.
INITIAL_DATA_CENTRE_DELAY_S = 0.004
INITIAL_REGION_DELAY_S = 0.008
# A shorter connect counts at once, a longer one is usually a busy leaf.
RISE_WEIGHT = 0.02


@attrs.define(eq=False)
class LinkDelays:
    """One-way delay from this instance to each data centre.

    Parameters
    ----------
    data_centre : str
        Data centre of this instance.
    regions_by_data_centre : mapping of str to str
        Region of each data centre.
    """

    data_centre: str
    regions_by_data_centre: Mapping[str, str]
    _delays_by_data_centre: dict[str, float] = attrs.Factory(dict)

    def delay_s(self, data_centre: str) -> float:
        """Return the one-way delay in seconds."""
        learned = self._delays_by_data_centre.get(data_centre)
        return self._initial_s(data_centre) if learned is None else learned

    def observe(self, data_centre: str, round_trip_s: float) -> None:
        """Take the time of one connect in seconds."""
        measured_s = round_trip_s / 2
        known_s = self._delays_by_data_centre.get(data_centre)
        if known_s is None or measured_s < known_s:
            self._delays_by_data_centre[data_centre] = measured_s
            return
        self._delays_by_data_centre[data_centre] = known_s + RISE_WEIGHT * (
            min(measured_s, 2 * known_s) - known_s
        )

    def _initial_s(self, data_centre: str) -> float:
        if data_centre == self.data_centre:
            return 0
        regions = self.regions_by_data_centre
        if regions.get(data_centre) == regions.get(self.data_centre):
            return INITIAL_DATA_CENTRE_DELAY_S
        return INITIAL_REGION_DELAY_S
