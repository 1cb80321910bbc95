"""A machine is cut from the store for a moment while leafs change and leave.

It watches the store for its zone. The clients use the other machine of the
zone, which has no disruption.
"""

import asyncio
import random
import time

from platform_standins import (
    BOUNDS,
    HOST,
    Instance,
    Leaf,
    Store,
    configuration,
    encode_request,
    read_response,
    route,
    run_case,
)

CLIENTS = 12
CYCLES = 6
CUT_S = 1.5
# Times after the begin of the cut at which one leaf changes its entry and at
# which the entry of another one, which leaves, is removed.
CHANGE_AFTER_S = 0.05
REMOVAL_AFTER_S = 0.1
# Time for which a leaf that leaves still serves after its removal.
SERVES_ON_S = 6.0
DRAIN_S = BOUNDS['drain_ms'] / 1000
TOLERATED = 0


class CutProxy:
    """Link between one machine and the store, which can be cut.

    While it is cut, bytes are held up in both directions.
    """

    def __init__(self, store):
        self.store = store
        self.server = None
        self.port = 0
        self.link = asyncio.Event()
        self.link.set()
        self.watch_sent = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()

    async def _serve(self, reader, writer):
        await self.link.wait()
        to_store, from_store = await asyncio.open_connection(
            HOST, self.store.port
        )
        await asyncio.gather(
            self._copy(reader, from_store, True),
            self._copy(to_store, writer, False),
        )

    async def _copy(self, reader, writer, is_request):
        try:
            while chunk := await reader.read(65536):
                await self.link.wait()
                writer.write(chunk)
                await writer.drain()
                if is_request and b'/v1/kv-watch' in chunk:
                    self.watch_sent.set()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Traffic:
    """Clients that keep their connections and send one request after another."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.answers, self.number, self.is_over = {}, 0, False

    async def run(self):
        while not self.is_over:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            try:
                while not self.is_over:
                    self.number += 1
                    request_id = f'q{self.number:06d}'
                    headers = {
                        'Host': 'shop.example',
                        'X-Request-Id': request_id,
                        'X-Deadline-Ms': 4000,
                    }
                    self.record.detail(f'{request_id} sent')
                    writer.write(encode_request('/a/x', headers))
                    status, _, _ = await read_response(reader)
                    self.record.detail(f'{request_id} answered {status}')
                    self.answers[status] = self.answers.get(status, 0) + 1
                    await asyncio.sleep(random.uniform(0.05, 0.15))
            except (EOFError, OSError) as error:
                self.record(f'{request_id}: no answer ({error})')
            finally:
                writer.close()


async def scenario(record, folder, has_trouble, started):
    store = Store()
    await store.start()
    arrivals = []

    async def respond(leaf, target, headers):
        arrivals.append((leaf.leaf_id, time.monotonic(), headers['x-request-id']))
        await asyncio.sleep(0.02)
        return 200, {}, leaf.leaf_id.encode().ljust(16)

    leafs = [
        Leaf(record, f'i-{number}', 's1', respond) for number in range(6 + CYCLES)
    ]
    for leaf in leafs:
        await leaf.start()
        await leaf.register(store)
    await store.write(
        'op/config', configuration(7, ('s1',), route('/a/', service='s1'))
    )
    proxy = CutProxy(store)
    await proxy.start()
    started.append(proxy)
    relay = Instance(record, folder, 'front-a-0', proxy)
    other = Instance(record, folder, 'front-a-1', store)
    third = Instance(record, folder, 'front-b-0', store, zone='zone-b')
    for each in (relay, other, third):
        each.seeds = (relay.control, third.control)
        started.append(each)
        await each.start()
        await each.wait_ready()
    await asyncio.sleep(5)
    traffic = Traffic(record, other.ports['front'])
    tasks = [asyncio.ensure_future(traffic.run()) for _ in range(CLIENTS)]
    late = []
    for cycle in range(CYCLES):
        await asyncio.sleep(2)
        leaving, changing = leafs[cycle], leafs[-1]
        proxy.watch_sent.clear()
        await proxy.watch_sent.wait()
        began = time.monotonic()
        if has_trouble:
            proxy.link.clear()
            record('front-a-0 is cut from the store')
        await asyncio.sleep(CHANGE_AFTER_S)
        await changing.register(store, version=f'v{cycle + 2}')
        record(f'{changing.leaf_id} has changed its entry')
        await asyncio.sleep(REMOVAL_AFTER_S - CHANGE_AFTER_S)
        await store.write(f'servers/{leaving.leaf_id}', None)
        removed_at = time.monotonic()
        record(f'{leaving.leaf_id}: its entry is removed')
        await asyncio.sleep(max(0, began + CUT_S - time.monotonic()))
        if has_trouble:
            proxy.link.set()
            record('front-a-0 reaches the store again')
        await asyncio.sleep(removed_at + SERVES_ON_S - time.monotonic())
        mine = [
            (at - removed_at, request_id)
            for leaf_id, at, request_id in arrivals
            if leaf_id == leaving.leaf_id and at > removed_at
        ]
        too_late = [each for each in mine if each[0] > DRAIN_S]
        late += too_late
        record(
            f'{leaving.leaf_id}: {len(mine)} requests after its removal, the '
            f'last after {max(mine, default=(0, ""))[0]:.3f} s, '
            f'{len(too_late)} later than {DRAIN_S} s: '
            f'{[(round(at, 3), each) for at, each in too_late]}'
        )
    traffic.is_over = True
    await asyncio.gather(*tasks)
    record(f'sent {traffic.number}; answers by status {traffic.answers}')
    if len(late) > TOLERATED:
        return (
            f'DRAIN: {len(late)} requests reached leafs later than {DRAIN_S} s '
            f'after their entries were removed, through a machine in touch'
        )
    return ''


run_case(scenario)
