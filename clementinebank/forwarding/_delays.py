"""Link delays to data centres, estimated from connect times."""

from collections.abc import Mapping

import attrs

# One-way delays that are assumed for a data centre until the first connect to
# it: for another one of the same region, and for one of another region. The
# operators' document has the same defaults.
INITIAL_DATA_CENTRE_DELAY_S = 0.004
INITIAL_REGION_DELAY_S = 0.008
# Weight of a measured delay above the estimate in the new estimate. It is small
# because such a connect usually took longer as the leaf was busy. A measured
# delay below the estimate replaces it at once.
SLOWER_SAMPLE_WEIGHT = 0.02


@attrs.define(eq=False)
class LinkDelays:
    """Estimates of the one-way delay from this instance to each data centre.

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

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, its own name if it is unknown."""
        return self.regions_by_data_centre.get(data_centre, data_centre)

    def delay_s(self, data_centre: str) -> float:
        """Return the estimated one-way delay to a data centre in seconds."""
        estimate_s = self._delays_by_data_centre.get(data_centre)
        return (
            self._initial_delay_s(data_centre)
            if estimate_s is None
            else estimate_s
        )

    def observe(self, data_centre: str, round_trip_s: float) -> None:
        """Update the estimate with the time of one connect.

        Parameters
        ----------
        data_centre : str
            Data centre of the leaf.
        round_trip_s : float
            Time of the connect in seconds, which is one round trip.
        """
        measured_s = round_trip_s / 2
        estimate_s = self._delays_by_data_centre.get(data_centre)
        if estimate_s is None or measured_s < estimate_s:
            self._delays_by_data_centre[data_centre] = measured_s
            return
        self._delays_by_data_centre[data_centre] = (
            estimate_s
            + SLOWER_SAMPLE_WEIGHT
            * (min(measured_s, 2 * estimate_s) - estimate_s)
        )

    def _initial_delay_s(self, data_centre: str) -> float:
        """Return the estimate for a data centre without a connect so far."""
        if data_centre == self.data_centre:
            return 0
        regions = self.regions_by_data_centre
        if regions.get(data_centre) == regions.get(self.data_centre):
            return INITIAL_DATA_CENTRE_DELAY_S
        return INITIAL_REGION_DELAY_S
