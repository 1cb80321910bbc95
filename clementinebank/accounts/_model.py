"""Client accounts of one version of the configuration."""

import attrs

from clementinebank.ratelimit import Quota


@attrs.frozen
class ClientAccount:
    """Client account: what its keys allow.

    Parameters
    ----------
    name : str
        Name that leafs get with each request.
    api_keys : frozenset of str
        Keys of its callers. They are left out of ``repr``, so that they stand
        in no log.
    priority : int or None
        Priority of its requests, 0 is the highest; ``None`` leaves it to the
        routes.
    quota : Quota or None
        Requests that it may make, ``None`` for any number.
    regions : frozenset of str or None
        Regions that may run its requests; ``None`` allows all.
    """

    name: str
    api_keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None
    quota: Quota | None = None
    regions: frozenset[str] | None = None
