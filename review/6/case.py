"""A leaf's Server-Limit ends while one of seven machines stands still.

The machine that stands still is the one that watches the store for its zone.
The clients use the other machines only, which have no disruption.
"""

import asyncio
import random
import signal
import time

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

# Machines of each zone, and clients of each machine.
MACHINES = {'zone-a': 3, 'zone-b': 2, 'zone-c': 2}
CLIENTS = 14
# Time for which a leaf works on a request of the route /b/.
WORK_S = 0.3
# Time after which the platform starts a process that has ended again.
RESTART_S = 1.0
# Answers without a whole one, of requests on kept connections that sound
# leafs ran, which the rule LOST tolerates.
TOLERATED = 3
CYCLES = 12
LIMIT_S = 2.0
FREEZE_S = 2.0
PAUSE_S = 2.5
CLOSE_SHARE = 0.1


class Traffic:
    """Clients that keep their connections and send one request after another."""

    def __init__(self, record):
        self.record = record
        self.answers, self.unanswered, self.number = {}, [], 0
        self.is_over = False

    async def run(self, instance):
        while not self.is_over:
            try:
                reader, writer = await asyncio.open_connection(
                    HOST, instance.ports['front']
                )
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self._use(instance, reader, writer)
            writer.close()

    async def _use(self, instance, reader, writer):
        for index in range(30):
            if self.is_over:
                return
            self.number += 1
            request_id = f'q{self.number:06d}'
            headers = {
                'Host': 'shop.example',
                'X-Request-Id': request_id,
                'X-Deadline-Ms': 4000,
            }
            prefix = '/a/' if self.number % 4 == 0 else '/b/'
            try:
                self.record.detail(f'{request_id} sent to {instance.name}')
                writer.write(encode_request(f'{prefix}x', headers))
                status, _, _ = await read_response(reader)
                self.record.detail(f'{request_id} answered {status}')
                self.answers[status] = self.answers.get(status, 0) + 1
            except (EOFError, OSError) as error:
                self.unanswered.append((request_id, index > 0))
                kept = 'kept' if index else 'new'
                self.record(
                    f'{request_id}: no answer from {instance.name}, {kept} '
                    f'connection ({error})'
                )
                return
            await asyncio.sleep(random.uniform(0.1, 0.2))

    def lost(self, leafs):
        """Return the requests of kept connections that ran, unanswered."""
        ran = {each for leaf in leafs for each in leaf.run_ids}
        return [
            request_id
            for request_id, is_kept in self.unanswered
            if is_kept and request_id in ran
        ]


async def restart_ended(record, instances, ended):
    """Start processes that ended by themselves again, as the platform does."""
    while True:
        for each in instances:
            if each.has_ended:
                status = each.process.returncode
                record(f'{each.name} ended by itself, status {status}')
                ended.append(each.name)
                await asyncio.sleep(RESTART_S)
                await each.start()
        await asyncio.sleep(0.1)


async def scenario(record, folder, has_trouble, started):
    is_limited = False

    async def respond_limited(leaf, target, headers):
        more = {'Server-Limit': '120'} if is_limited else {}
        return 200, more, b'limited'.ljust(16)

    async def respond(leaf, target, headers):
        await asyncio.sleep(WORK_S)
        # Leafs send this occasionally.
        is_closing = random.random() < CLOSE_SHARE
        return 200, {'Connection': 'close'} if is_closing else {}, b'x' * 16

    store = Store()
    await store.start()
    leafs = [Leaf(record, 'i-1', 's1', respond_limited)]
    leafs += [Leaf(record, f'i-{n}', 's2', respond) for n in (2, 3, 4, 5)]
    for leaf in leafs:
        await leaf.start()
        await leaf.register(store)
    await store.write(
        'op/config',
        configuration(
            7, ('s1', 's2'), route('/a/', service='s1'), route('/b/', service='s2')
        ),
    )
    instances = [
        Instance(record, folder, f'front-{zone}-{n}', store, zone=zone)
        for zone, count in MACHINES.items()
        for n in range(count)
    ]
    seeds = [each.control for each in instances if each.name.endswith('-0')]
    for each in instances:
        each.seeds = seeds
        started.append(each)
        await each.start()
    for each in instances:
        await each.wait_ready()
    relay, *others = instances
    await asyncio.sleep(3)
    traffic = Traffic(record)
    tasks = [
        asyncio.ensure_future(traffic.run(each))
        for each in others
        for _ in range(CLIENTS)
    ]
    ended = []
    keeper = asyncio.ensure_future(restart_ended(record, others, ended))
    await asyncio.sleep(5)
    for cycle in range(CYCLES):
        is_limited = True
        record(f'cycle {cycle}: i-1 names Server-Limit: 120')
        await asyncio.sleep(LIMIT_S)
        if has_trouble:
            relay.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        is_limited = False
        record(f'cycle {cycle}: i-1 names no limit any more')
        await asyncio.sleep(FREEZE_S)
        if has_trouble:
            relay.send_signal(signal.SIGCONT)
        await asyncio.sleep(PAUSE_S)
        record(f'answers by status: {traffic.answers}')
        if len(traffic.lost(leafs)) > TOLERATED:
            break
    keeper.cancel()
    traffic.is_over = True
    await asyncio.gather(*tasks)
    record(f'sent: {traffic.number} requests')
    for leaf in leafs:
        record(f'{leaf.leaf_id} of {leaf.service} ran {len(leaf.run_ids)}')
    lost = traffic.lost(leafs)
    record(
        f'without an answer: {len(traffic.unanswered)}; of them sent on kept '
        f'connections and run: {lost}'
    )
    if len(lost) > TOLERATED:
        return (
            f'LOST: {len(lost)} requests from kept connections, passed on to '
            f'sound leafs, got no answer; ended by themselves without a '
            f'disruption: {ended}'
        )
    return ''


run_case(scenario)
