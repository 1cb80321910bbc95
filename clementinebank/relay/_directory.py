"""The registered relay of each data centre, and the size of the fleet."""

import json
from collections import deque
from collections.abc import Iterable, Mapping

import attrs
from eliot import log_message
from result import Err, Ok, Result

from clementinebank.errors import FieldProblem
from clementinebank.relay._model import Entry
from clementinebank.validation import Address, FieldReader

KEY_PREFIX = 'relays/'
# Counts drop while followers change their relay, and connections that were
# opened by a smaller share stay; so the largest count of this time holds.
SIZE_WINDOW_S = 30.0
# Small deployments have 6 to 7 instances; assumed until a relay has counted.
INITIAL_FLEET_SIZE = 8


@attrs.frozen
class RelayRecord:
    """Registration of the instance that watches the store for others.

    Parameters
    ----------
    instance_id : str
        Name of the instance.
    address : Address
        Where it answers other instances.
    data_centre : str
        Data centre for which it is registered.
    fleet_share : int
        Instances that it counts: itself and its followers.
    revision : int
        Revision of the store at which it was written.
    """

    instance_id: str
    address: Address
    data_centre: str
    fleet_share: int
    revision: int = 0

    @property
    def key(self) -> str:
        """Return the key of the registration."""
        return f'{KEY_PREFIX}{self.data_centre}'


def encode_record(record: RelayRecord) -> bytes:
    """Return the stored form of a registration."""
    return json.dumps(
        {
            'instance_id': record.instance_id,
            'address': str(record.address),
            'fleet_share': record.fleet_share,
        }
    ).encode()


def decode_record(entry: Entry) -> Result[RelayRecord, list[FieldProblem]]:
    """Return the registration of an entry, or every problem of it."""
    try:
        reader = FieldReader(json.loads(entry.value or b''))
    except (ValueError, RecursionError) as error:
        return Err([FieldProblem('$', f'is no JSON: {error}')])
    record = RelayRecord(
        reader.text('instance_id'),
        reader.address('address'),
        entry.key.removeprefix(KEY_PREFIX),
        reader.integer('fleet_share', minimum=1),
        entry.revision,
    )
    return Err(reader.problems) if reader.problems else Ok(record)


@attrs.define(eq=False)
class RelayDirectory:
    """Registered relays.

    Parameters
    ----------
    records_by_data_centre : dict of str to RelayRecord
        Relay of each data centre that has one.
    """

    records_by_data_centre: dict[str, RelayRecord] = attrs.Factory(dict)
    _sizes: deque[tuple[float, int]] = attrs.Factory(deque)

    def load(self, entries: Iterable[Entry], now: float) -> None:
        """Take every registration that is stored."""
        self.records_by_data_centre = {}
        for entry in entries:
            self.take(entry, now)

    def take(self, entry: Entry, now: float) -> None:
        """Take a registration that was written or deleted."""
        data_centre = entry.key.removeprefix(KEY_PREFIX)
        if entry.value is None:
            self.records_by_data_centre.pop(data_centre, None)
            log_message(
                message_type='relay:unregistered', data_centre=data_centre
            )
            return
        decoded = decode_record(entry)
        if isinstance(decoded, Err):
            log_message(
                message_type='relay:invalid_entry',
                key=entry.key,
                revision=entry.revision,
                problems=[str(problem) for problem in decoded.err_value],
            )
            return
        record = decoded.ok_value
        self.records_by_data_centre[data_centre] = record
        self.fleet_size(now)
        self._sizes.append((now, self._count()))
        log_message(
            message_type='relay:registered',
            data_centre=data_centre,
            instance=record.instance_id,
            fleet_share=record.fleet_share,
            revision=record.revision,
        )

    def fleet_size(self, now: float) -> int:
        """Return the number of instances, rather too high than too low."""
        sizes = self._sizes
        if not sizes:
            sizes.append((now, INITIAL_FLEET_SIZE))
        while len(sizes) > 1 and sizes[0][0] < now - SIZE_WINDOW_S:
            sizes.popleft()
        return max(size for _, size in sizes)

    def nearest(
        self,
        instance_id: str,
        data_centre: str,
        regions_by_data_centre: Mapping[str, str],
    ) -> list[Address]:
        """Return the addresses of the relays of others, nearest first."""
        region = regions_by_data_centre.get(data_centre)
        others = [
            record
            for record in self.records_by_data_centre.values()
            if record.instance_id != instance_id
        ]
        others.sort(
            key=lambda record: (
                record.data_centre != data_centre,
                regions_by_data_centre.get(record.data_centre) != region,
                record.data_centre,
            )
        )
        return [record.address for record in others]

    def _count(self) -> int:
        return sum(
            record.fleet_share
            for record in self.records_by_data_centre.values()
        )
