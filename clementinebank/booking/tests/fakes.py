"""Fake key-value service, leaf and instances for tests of bookings.

Their delays pass on a fake clock.
"""

import json
import uuid

import attrs
import curio
from result import Err, Ok

from clementinebank.booking import (
    BookingBudget,
    BookingEngine,
    BookingRequest,
    new_key,
)
from clementinebank.clock import now, wall_time
from clementinebank.coordination import Entry, ListedEntry, ListingPage
from clementinebank.document import (
    Document,
    FleetSettings,
    GroupSettings,
    LeafEndpoint,
    ServiceSettings,
)
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpProtocolError, json_response
from clementinebank.upstream import LeafPool
from clementinebank.validation import Address

# Time of one key-value call, connect or reply, in seconds.
CALL_S = 0.002
# Time in seconds for which a leaf runs a request.
EXECUTION_S = 0.010
# Time in seconds from the start of a request to its deadline.
DEADLINE_S = 1.0
# Delay in seconds after which a late write takes effect.
LATE_WRITE_S = 3.0
SERVICE = 'claim-counter'
BODY = b'{"rug": "R-17"}'


def fake_document(retention_hours=24, leafs=2, writes=1000):
    """Return a document with one booking service."""
    leafs_by_id = {
        f'leaf-{number}': LeafEndpoint(
            f'leaf-{number}', Address('127.0.0.1', 1 + number), 'north'
        )
        for number in range(leafs)
    }
    service = ServiceSettings(
        SERVICE,
        'team',
        'booking',
        {'all': GroupSettings('all', '', leafs_by_id)},
        6,
        100,
        retention_hours=retention_hours,
    )
    fleet = FleetSettings(
        'team', {'north': 'north'}, booking_writes_per_second=writes
    )
    return Document(1, fleet, {SERVICE: service})


async def wait_forever():
    """Wait forever, as if the process of the task had been killed."""
    await curio.Event().wait()


@attrs.define(eq=False)
class FakeKeyValue:
    """Key-value service in memory that can inject faults.

    Each fault in ``write_faults`` applies to one write: ``lost_before`` (no
    effect), ``lost_after`` (effect without an answer) or ``late`` (answered
    with a failure, takes effect later). The next ``read_faults`` reads get no
    answer. Until the time ``down_until`` every call fails without effect.
    """

    entries: dict = attrs.Factory(dict)
    version: int = 0
    write_faults: list = attrs.Factory(list)
    read_faults: int = 0
    down_until: float = 0
    reads: int = 0
    writes: int = 0

    async def read(self, key):
        self.reads += 1
        await curio.sleep(CALL_S)
        if now() < self.down_until or self.read_faults:
            self.read_faults = max(0, self.read_faults - 1)
            return Err(self._unknown_failure('no answer'))
        return Ok(self.entries.get(key, Entry(b'', 0)))

    async def compare_and_swap(self, key, value, version):
        self.writes += 1
        await curio.sleep(CALL_S)
        if now() < self.down_until:
            return Err(self._unknown_failure('service is down'))
        fault = self.write_faults.pop(0) if self.write_faults else ''
        if fault == 'lost_before':
            return Err(self._unknown_failure('lost before the effect'))
        if fault == 'late':
            await curio.spawn(
                self._apply_late, key, value, version, daemon=True
            )
            return Err(self._unknown_failure('late'))
        applied = self._apply(key, value, version)
        if fault == 'lost_after':
            return Err(self._unknown_failure('lost after the effect'))
        return applied

    async def delete(self, key, version):
        return await self.compare_and_swap(key, None, version)

    async def list_page(self, prefix, after='', limit=100):
        await curio.sleep(CALL_S)
        if now() < self.down_until:
            return Err(self._unknown_failure('service is down'))
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        listed = tuple(
            ListedEntry(key, self.entries[key]) for key in keys[:limit]
        )
        return Ok(ListingPage(listed, len(keys) < limit))

    async def _apply_late(self, key, value, version):
        await curio.sleep(LATE_WRITE_S)
        self._apply(key, value, version)

    def _apply(self, key, value, version):
        if self.entries.get(key, Entry(b'', 0)).version != version:
            return Err(self._unknown_failure('changed', 'version_mismatch'))
        self.version += 1
        if value is None:
            del self.entries[key]
        else:
            self.entries[key] = Entry(value, self.version)
        return Ok(Entry(value or b'', self.version))

    def _unknown_failure(self, message, code='key_value_unreachable'):
        return Failure(code, message, Step.SWAP, execution=Execution.UNKNOWN)


@attrs.frozen
class LeafRun:
    """One execution of a request at a leaf."""

    key: str
    call_id: str
    at: float
    outcome: object


@attrs.define(eq=False)
class FakeLeaf:
    """Leaf that runs every request it receives, without deduplication.

    Each fault in ``reply_faults`` applies to one exchange: ``cut`` (runs, then
    the connection breaks), ``refuse`` (states ``ran: false``), ``slow`` (runs,
    replies after the deadline and every time limit), ``malformed`` (runs, the
    reply does not state it) or ``unreachable`` (accepts no connection).
    """

    runs: list = attrs.Factory(list)
    reply_faults: list = attrs.Factory(list)

    def execute(self, request):
        outcome = {
            'booked': json.loads(request.body),
            'number': len(self.runs) + 1,
        }
        call_id = request.headers['request-id']
        key = request.headers['idempotency-key']
        self.runs.append(LeafRun(key, call_id, now(), outcome))
        return outcome


@attrs.define(eq=False)
class FakeConnection:
    """Connection of one instance to a leaf."""

    leaf: FakeLeaf
    instance: object
    is_reusable: bool = False
    local_port: int = 1
    is_cut: bool = False
    replies: object = None
    request_id: str = ''

    async def connect(self):
        await curio.sleep(CALL_S)
        if self.instance.is_killed:
            await wait_forever()
        if self.leaf.reply_faults[:1] == ['unreachable']:
            self.leaf.reply_faults.pop(0)
            raise OSError('refused')
        self.is_reusable = True
        self.instance.connections.append(self)

    async def send(self, request):
        if self.instance.is_killed:
            await wait_forever()
        self.request_id = request.headers['request-id']
        self.is_reusable = False
        self.replies = curio.Queue()
        await curio.spawn(self._serve, request, self.replies, daemon=True)

    async def receive(self):
        status, body = await self.replies.get()
        if self.instance.is_killed:
            await wait_forever()
        if self.is_cut or body is None:
            raise HttpProtocolError('the connection was closed')
        self.is_reusable = True
        return json_response(status, body, {'request-id': self.request_id})

    async def close(self):
        self.is_reusable = False

    async def _serve(self, request, replies):
        """Run the request at the leaf, even if the connection breaks."""
        faults = self.leaf.reply_faults
        fault = faults.pop(0) if faults else ''
        await curio.sleep(EXECUTION_S)
        if fault == 'refuse':
            await replies.put((429, {'code': 'shed', 'ran': False}))
            return
        body = {'ran': True, 'outcome': self.leaf.execute(request)}
        await curio.sleep(2 * DEADLINE_S if fault == 'slow' else CALL_S)
        if fault == 'malformed':
            body.pop('ran')
        await replies.put((200, None if fault == 'cut' else body))


@attrs.define
class FakePool(LeafPool):
    """Leaf pool over fake connections that sends no status probes."""

    fake_leaf: FakeLeaf = None
    instance: object = None

    async def submit(self, call):
        # Status probes are never sent: they would take most of the time of a
        # test.
        if call.request.method == 'GET':
            await wait_forever()
        if call.request.method == 'POST':
            await super().submit(call)

    def _new_connection(self):
        return FakeConnection(self.fake_leaf, self.instance)


@attrs.define(eq=False)
class FakeInstance:
    """One instance; its tasks wait forever once ``is_killed`` is set."""

    name: str
    simulation: object
    is_killed: bool = False
    connections: list = attrs.Factory(list)
    engine: BookingEngine = None

    async def start(self):
        simulation = self.simulation
        self.engine = BookingEngine(
            simulation.document.services_by_name[SERVICE],
            simulation.document,
            self.name,
            'north',
            simulation.key_value,
            BookingBudget(simulation.writes_per_second),
            dispatch_monitor=simulation.create_dispatch_monitor(),
            observer=self.observe,
            create_booking=simulation.create_booking,
            create_pool=self.create_pool,
        )
        await self.engine.update(self.engine.service, simulation.document)

    def create_pool(self, leaf, max_connections):
        return FakePool(
            leaf, max_connections, fake_leaf=self.simulation.leaf, instance=self
        )

    async def observe(self, run, step):
        if self.is_killed:
            await wait_forever()
        self.simulation.attempt_ids_by_request[
            run.booking.request.request_id
        ] = run.booking.claim.attempt_id
        await self.simulation.on_step(self, run, step)

    def cut_connections(self):
        for connection in self.connections:
            connection.is_cut = True


def new_request(key=None, body=BODY, deadline_s=DEADLINE_S):
    """Return a request with a new id, and a new key if none is given."""
    key = key or new_key(wall_time())
    request_id = f'request-{uuid.uuid4().hex}'
    return BookingRequest(request_id, key, SERVICE, body, now() + deadline_s)
