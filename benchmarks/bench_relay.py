"""Measure the processor time and traffic of a relay per follower and round.

A relay and its followers run in one process over loopback, so the figures
include both sides. In each round a change batch is appended to the log of the
relay, empty or with one entry of the given size, and all followers receive it.
An empty batch only confirms that the log is up to date.

Run it with ``python -m benchmarks.bench_relay``.
"""

import argparse
import time

import attrs
import curio
from result import Ok

from clementinebank.clock import now, run_service
from clementinebank.relay import (
    WATCH_PATH,
    ChangeBatch,
    Entry,
    EntryLog,
    RelayClient,
    RelayService,
    StoredState,
    StorePosition,
)
from clementinebank.rpc import RpcServer
from clementinebank.validation import Address

HOST = '127.0.0.1'
US_PER_S = 1_000_000
WAIT_S = 5.0


@attrs.define(eq=False)
class Follower:
    """Follower of the relay: a copy of its log, and when it was up to date.

    Parameters
    ----------
    client : RelayClient
        Client of the relay.
    log : EntryLog
        The copy.
    confirmed_at : float
        Runtime time in seconds at which the copy was last up to date.
    """

    client: RelayClient
    log: EntryLog
    confirmed_at: float = 0

    async def run(self, address):
        """Request changes of the relay until cancelled and append them."""
        while True:
            changes = await self.client.wait_for_changes(
                address, self.log.position, WAIT_S
            )
            # With hundreds of followers in one process, calls can time out;
            # the follower then calls again.
            if isinstance(changes, Ok):
                await self.log.append(changes.ok_value)
                self.confirmed_at = self.log.confirmed_at

    def bytes_moved(self):
        """Return the bytes sent and received on the open connections."""
        channels = self.client._channels.values()
        return sum(each.bytes_sent + each.bytes_received for each in channels)


async def measure(count, rounds, entry_bytes):
    """Return the processor time in us and bytes per follower and round."""
    relay_log = EntryLog()
    await relay_log.load(StoredState((), StorePosition(1), now()))
    listening = curio.tcp_server_socket(HOST, 0, backlog=512)
    address = Address(*listening.getsockname()[:2])
    server = RpcServer(
        HOST, 0, {WATCH_PATH: RelayService(relay_log).handle_watch}
    )

    tasks = [await curio.spawn(_accept, listening, server)]
    followers = []
    for number in range(count):
        own_log = EntryLog()
        await own_log.load(StoredState((), StorePosition(1), now()))
        client = RelayClient(f'i-{number}', address, own_log)
        followers.append(Follower(client, own_log))
    for each in followers:
        tasks.append(await curio.spawn(each.run, address))
    # Time for all followers to connect.
    await curio.sleep(1 + count / 200)
    moved_bytes = sum(each.bytes_moved() for each in followers)
    started = time.process_time()
    for _ in range(rounds):
        entries = (
            (Entry('k', bytes(entry_bytes), relay_log.revision + 1),)
            if entry_bytes
            else ()
        )
        await relay_log.append(
            ChangeBatch(
                entries,
                StorePosition(relay_log.revision + len(entries)),
                now(),
            )
        )
        # A follower computes the time from the age in the reply and adds its
        # way, so its value may be earlier than that of the relay. The relay
        # sends a confirmation again only beyond a difference of 0.1 s.
        confirmed_at = relay_log.confirmed_at - 0.15
        while min(each.confirmed_at for each in followers) < confirmed_at:
            await curio.sleep(0.002)
        await curio.sleep(0.2)
    cpu_s = time.process_time() - started
    moved_bytes = sum(each.bytes_moved() for each in followers) - moved_bytes
    for task in tasks:
        await task.cancel()
    return cpu_s * US_PER_S / (count * rounds), moved_bytes / (count * rounds)


async def _accept(listening, server):
    async with curio.TaskGroup() as group:
        while True:
            sock, peer = await listening.accept()
            await group.spawn(server.serve_connection, sock, peer)


def main():
    """Print the figures for several numbers of followers and entry sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=40)
    options = parser.parse_args()
    for count in (10, 100, 300):
        for entry_bytes in (0, 400):
            cpu_us, moved_bytes = run_service(
                measure, count, options.rounds, entry_bytes
            )
            print(
                f'{count} followers, entry of {entry_bytes} B: '
                f'{cpu_us:.0f} us and {moved_bytes:.0f} B for each follower '
                'and round'
            )


if __name__ == '__main__':
    main()
