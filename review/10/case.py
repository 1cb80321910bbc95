"""An instance is killed; clients connect again as soon as it listens.

Their connections keep the limit of headers that was in force before the
configuration was read.
"""

import asyncio
import random
import signal

from platform_standins import (
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

CLIENTS = 130
# `limits.max_header_bytes` of the only configuration, and the headers of the
# clients' requests.
MAX_HEADER_BYTES = 65_536
COOKIE_BYTES = 50_000
# How the headers reach the instance over a link of 3 ms one way: ten segments,
# and twice as many after each round trip.
FIRST_PIECE_BYTES = 14_600
ROUND_TRIP_S = 0.006
# The store's usual time for an answer, and the time until a killed process is
# started again.
STORE_ANSWER_S = 0.004
RESTART_S = 1.0
# Registered leafs of other services, about as many as kumagawa-finder has.
OTHER_LEAFS = 90
# Clients that can't connect try again after about this time.
CONNECT_PAUSE_S = 0.03
REQUESTS = 8
# DENIED: more than 5 + one in 500 of all requests.
TOLERATED, TOLERATED_SHARE = 5, 1 / 500


class SlowStore(Store):
    """The store with its usual time for an answer."""

    async def _answer(self, *request):
        await asyncio.sleep(STORE_ANSWER_S)
        return await super()._answer(*request)


class Client:
    def __init__(self, record, number, answers):
        self.record, self.number, self.answers = record, number, answers
        self.sent = 0
        self.streams = None

    async def connect(self, instance):
        """Connect, again and again, and send a first short request."""
        while True:
            try:
                self.streams = await asyncio.wait_for(
                    asyncio.open_connection(HOST, instance.ports['front']), 1
                )
                status = await self.ask('')
                self.record(f'client {self.number}: connected, first {status}')
                return
            except (OSError, EOFError, asyncio.TimeoutError):
                self.close()
                await asyncio.sleep(random.uniform(0.6, 1.4) * CONNECT_PAUSE_S)

    def close(self):
        """Close the connection, if there is one."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None

    async def ask(self, cookie):
        """Send one request on the open connection; return the status."""
        reader, writer = self.streams
        self.sent += 1
        headers = {
            'Host': 'shop.example',
            'X-Request-Id': f'q{self.number:03d}{self.sent:04d}',
            'X-Deadline-Ms': 4000,
        }
        if cookie:
            headers['Cookie'] = cookie
        request = encode_request('/a/x', headers)
        request_id = headers['X-Request-Id']
        self.record.detail(f'{request_id} sent, {len(request)} bytes')
        size = FIRST_PIECE_BYTES
        while request:
            writer.write(request[:size])
            await writer.drain()
            request = request[size:]
            size *= 2
            if request:
                await asyncio.sleep(ROUND_TRIP_S)
        status, _, _ = await asyncio.wait_for(read_response(reader), 5)
        self.record.detail(f'{request_id} answered {status}')
        return status

    async def ask_often(self, instance):
        """Send requests with long headers, on a new connection after a close."""
        for _ in range(REQUESTS):
            try:
                status = await self.ask('c' * COOKIE_BYTES)
            except (OSError, EOFError):
                status = 'closed'
            self.answers[status] = self.answers.get(status, 0) + 1
            if status != 200:
                self.record(
                    f'client {self.number}: request {self.sent} with '
                    f'{COOKIE_BYTES} B of headers: {status}'
                )
                self.close()
                await self.connect(instance)
            await asyncio.sleep(random.uniform(0.1, 0.3))


async def scenario(record, folder, has_trouble, started):
    store = SlowStore()
    await store.start()
    leaf = Leaf(record, 'i-1', 's1')
    await leaf.start()
    await leaf.register(store)
    for number in range(OTHER_LEAFS):
        other = Leaf(record, f'j-{number}', f't{number // 3}')
        # Nothing is sent to them; their stand-in is the one leaf.
        await other.register(store, address=f'{HOST}:{leaf.port}')
    await store.write(
        'op/config',
        configuration(
            7,
            ('s1',),
            route('/a/', service='s1'),
            max_header_bytes=MAX_HEADER_BYTES,
        ),
    )
    instance = Instance(record, folder, 'front-1', store)
    started.append(instance)
    await instance.start()
    await instance.wait_ready()
    answers = {}
    clients = [Client(record, number, answers) for number in range(CLIENTS)]
    if has_trouble:
        instance.send_signal(signal.SIGKILL)
        await instance.process.wait()
        waiting = [
            asyncio.ensure_future(each.connect(instance)) for each in clients
        ]
        await asyncio.sleep(RESTART_S)
        await instance.start()
        await asyncio.gather(*waiting)
    else:
        await asyncio.gather(*(each.connect(instance) for each in clients))
    await instance.wait_ready()
    record('ready; nothing happens for longer than stable_window_ms')
    await asyncio.sleep(5)
    await asyncio.gather(*(each.ask_often(instance) for each in clients))
    for each in clients:
        each.close()
    sent = sum(each.sent for each in clients)
    denied = answers.get(431, 0)
    record(f'sent {sent}; answers to long headers {answers}')
    record(f'{leaf.leaf_id} ran {len(leaf.run_ids)}')
    if denied > TOLERATED + TOLERATED_SHARE * sent:
        return f'DENIED: {denied} of {sent} proper requests got 431'
    return ''


run_case(scenario)
