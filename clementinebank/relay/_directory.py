"""The registered relay of each data centre, and the size of the fleet."""

import json
from collections import deque
from collections.abc import Iterable, Iterator, Mapping

import attrs
from eliot import log_message
from result import Err, Ok, Result

from clementinebank.errors import FieldProblem
from clementinebank.relay._aggregators import FleetMember
from clementinebank.relay._content import decode_content
from clementinebank.relay._model import Entry
from clementinebank.validation import Address, FieldReader, parse_address

KEY_PREFIX = 'relays/'
# The fleet size is the largest sum of the relays' counts in this time. Sums are
# too low while followers change their relay, and connections that an instance
# opened for a smaller fleet stay open.
FLEET_SIZE_WINDOW_S = 30.0
# Fleet size until a relay has registered with its count; small deployments have
# 6 to 7 instances.
INITIAL_FLEET_SIZE = 8
# Least processor of an aggregator in cores.
MIN_CORES = 0.001
# Aggregators that are remembered of data centres without a relay. Each needs
# about 500 bytes; the store bounds the names of data centres.
MAX_LOST_AGGREGATORS = 1000


@attrs.frozen
class RelayRecord:
    """Registration of the instance that watches the store for others.

    Parameters
    ----------
    instance_id : str
        Name of the instance.
    address : Address
        Where the instance answers other instances.
    data_centre : str
        Data centre for which it is registered.
    fleet_share : int
        Number of instances that it counts: itself and its followers.
    aggregators : tuple of FleetMember
        Instances of the data centre that gather answers for the others.
    revision : int
        Revision of the store at which the registration was written.
    """

    instance_id: str
    address: Address
    data_centre: str
    fleet_share: int
    revision: int = 0
    aggregators: tuple[FleetMember, ...] = ()

    @property
    def key(self) -> str:
        """Return the key of the registration in the store."""
        return f'{KEY_PREFIX}{self.data_centre}'


def encode_record(record: RelayRecord) -> bytes:
    """Return the stored form of a registration."""
    return json.dumps(
        {
            'instance_id': record.instance_id,
            'address': str(record.address),
            'fleet_share': record.fleet_share,
            'aggregators': {
                str(each.address): each.cores for each in record.aggregators
            },
        }
    ).encode()


def decode_record(entry: Entry) -> Result[RelayRecord, list[FieldProblem]]:
    """Return the registration that an entry holds, or its problems."""
    try:
        reader = FieldReader(json.loads(entry.value or b''))
    except (ValueError, RecursionError) as error:
        return Err([FieldProblem('$', f'is not valid JSON: {error}')])
    record = RelayRecord(
        reader.text('instance_id'),
        reader.address('address'),
        entry.key.removeprefix(KEY_PREFIX),
        reader.integer('fleet_share', minimum=1),
        entry.revision,
        tuple(_read_aggregators(reader.child('aggregators', required=False))),
    )
    return Err(reader.problems) if reader.problems else Ok(record)


def _read_aggregators(reader: FieldReader) -> Iterator[FleetMember]:
    """Yield the aggregators in a mapping of addresses to cores."""
    for name in reader.data:
        address = parse_address(name)
        if address is None:
            reader.report(str(name), 'must be IP:PORT')
            continue
        yield FleetMember(address, reader.number(name, minimum=MIN_CORES))


@attrs.define(eq=False)
class RelayDirectory:
    """Registered relays, and the fleet size that follows from them.

    Parameters
    ----------
    records_by_data_centre : dict of str to RelayRecord
        Registration of each data centre that has a relay.
    aggregators_by_data_centre : dict of str to tuple of FleetMember
        Aggregators that the last registration of each data centre named. They
        are kept when a registration ends, since they outlive their relay.
    """

    records_by_data_centre: dict[str, RelayRecord] = attrs.Factory(dict)
    aggregators_by_data_centre: dict[str, tuple[FleetMember, ...]] = (
        attrs.Factory(dict)
    )
    # Revisions of entries that hold no registration that can be decoded.
    _invalid_revisions: dict[str, int] = attrs.Factory(dict)
    _recent_sizes: deque[tuple[float, int]] = attrs.Factory(deque)
    # Data centres whose registrations a restored store has lost.
    _lost_data_centres: set[str] = attrs.Factory(set)

    def load(self, entries: Iterable[Entry], now: float) -> None:
        """Replace all registrations by those of the given entries."""
        self.records_by_data_centre = {}
        self._invalid_revisions = {}
        self._lost_data_centres.clear()
        for entry in entries:
            self.apply(entry, now)

    def restore(self, entries: Iterable[Entry], now: float) -> None:
        """Apply the registrations of a store that is back from an older copy.

        It has lost the registrations, since the leases of all have ended. The
        known relays stay until ``forget_lost``, so that they can register
        again.
        """
        known = self.records_by_data_centre
        self.load(entries, now)
        for data_centre in known.keys() - self.records_by_data_centre.keys():
            self.records_by_data_centre[data_centre] = attrs.evolve(
                known[data_centre], revision=self.revision_of(data_centre)
            )
            self._lost_data_centres.add(data_centre)

    def forget_lost(self) -> None:
        """Forget lost registrations that weren't written again."""
        for data_centre in self._lost_data_centres:
            record = self.records_by_data_centre.pop(data_centre)
            log_message(
                message_type='relay:not_registered_again',
                data_centre=data_centre,
                instance=record.instance_id,
            )
        self._lost_data_centres.clear()

    def apply(self, entry: Entry, now: float) -> None:
        """Apply the write or the deletion of one registration.

        A registration that can't be decoded is logged; the one before it stays
        in force.
        """
        data_centre = entry.key.removeprefix(KEY_PREFIX)
        self._invalid_revisions.pop(data_centre, None)
        self._lost_data_centres.discard(data_centre)
        if entry.value is None:
            self.records_by_data_centre.pop(data_centre, None)
            self._forget_lost_data_centres()
            log_message(
                message_type='relay:unregistered', data_centre=data_centre
            )
            return
        decoded = decode_content(entry, decode_record)
        if isinstance(decoded, Err):
            log_message(
                message_type='relay:invalid_entry',
                key=entry.key,
                revision=entry.revision,
                problems=[str(problem) for problem in decoded.err_value],
            )
            self._invalid_revisions[data_centre] = entry.revision
            return
        record = decoded.ok_value
        self.records_by_data_centre[data_centre] = record
        self.aggregators_by_data_centre.pop(data_centre, None)
        self.aggregators_by_data_centre[data_centre] = record.aggregators
        self._record_size(now)
        log_message(
            message_type='relay:registered',
            data_centre=data_centre,
            instance=record.instance_id,
            fleet_share=record.fleet_share,
            aggregators=[str(each.address) for each in record.aggregators],
            revision=record.revision,
        )

    def revision_of(self, data_centre: str) -> int:
        """Return the revision at which a registration can be replaced.

        It is that of the last write of its key, 0 if the key doesn't exist.
        """
        record = self.records_by_data_centre.get(data_centre)
        return self._invalid_revisions.get(
            data_centre, record.revision if record else 0
        )

    def fleet_size(self, now: float) -> int:
        """Return an upper estimate of the number of instances.

        It is the largest sum of the relays' counts in the last
        ``FLEET_SIZE_WINDOW_S``, and ``INITIAL_FLEET_SIZE`` at first.
        """
        sizes = self._recent_sizes
        if not sizes:
            sizes.append((now, INITIAL_FLEET_SIZE))
        while len(sizes) > 1 and sizes[0][0] < now - FLEET_SIZE_WINDOW_S:
            sizes.popleft()
        return max(size for _, size in sizes)

    def relays_by_distance(
        self,
        instance_id: str,
        data_centre: str,
        regions_by_data_centre: Mapping[str, str],
    ) -> list[Address]:
        """Return the addresses of all other relays, nearest first.

        Relays of the same data centre come before those of the same region,
        and these before all others.

        Parameters
        ----------
        instance_id, data_centre : str
            Name and data centre of this instance, which is left out.
        regions_by_data_centre : mapping of str to str
            Region of each data centre.
        """
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

    def _record_size(self, now: float) -> None:
        """Add the present sum; smaller earlier ones no longer count."""
        # Adds the initial size before the first sum and drops old sums.
        self.fleet_size(now)
        size = self._total_fleet_share()
        while self._recent_sizes and self._recent_sizes[-1][1] <= size:
            self._recent_sizes.pop()
        self._recent_sizes.append((now, size))

    def _forget_lost_data_centres(self) -> None:
        """Drop the longest known aggregators of data centres without relay."""
        lost = {
            data_centre: 1 + len(members)
            for data_centre, members in self.aggregators_by_data_centre.items()
            if data_centre not in self.records_by_data_centre
        }
        excess = sum(lost.values()) - MAX_LOST_AGGREGATORS
        for data_centre, count in lost.items():
            if excess <= 0:
                break
            self.aggregators_by_data_centre.pop(data_centre)
            excess -= count

    def _total_fleet_share(self) -> int:
        return sum(
            record.fleet_share
            for record in self.records_by_data_centre.values()
        )
