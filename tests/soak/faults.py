"""Faults of a run, chosen by one seeded generator."""

import random
import signal
import threading
import time
from collections import Counter

import attrs

from tests.harness import call, eventually

STOP_LIMIT_S = 25
READY_LIMIT_S = 20
FAULTS = {}


def fault(function):
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


def _part_of(kind):
    return kind.partition('_')[0]


@attrs.define(eq=False)
class FaultThread:
    """Injects one fault after the other and logs each."""

    fleet: object
    seen: object
    stop: threading.Event
    rng: random.Random
    kinds: list
    interval_s: float = 1.0
    max_stop_s: float = 20.0
    sequences: dict = attrs.Factory(dict)
    serving: dict = attrs.Factory(dict)
    begin: float = attrs.Factory(time.time)
    errors: list = attrs.Factory(list)
    _background: list = attrs.Factory(list)
    _busy: set = attrs.Factory(set)
    _order: list = attrs.Factory(list)
    injected: Counter = attrs.Factory(Counter)

    def run(self):
        """Inject faults until the run ends, then end every fault."""
        while not self.stop.wait(self.rng.uniform(0.3, 1.7) * self.interval_s):
            seed = self.rng.getrandbits(32)
            kind = self._next_kind()
            if kind is not None:
                thread = threading.Thread(
                    target=self._inject,
                    args=(kind, seed),
                    name=_part_of(kind),
                )
                self._background.append(thread)
                thread.start()
        for thread in self._background:
            thread.join()

    def _next_kind(self):
        """Return the next kind whose part of the system has few faults.

        Every kind comes once before one comes again, in a random order, so
        that a run of a minute has each of them.
        """
        if not self._order:
            self._order = self.rng.sample(self.kinds, len(self.kinds))
        running = [each.name for each in self._background if each.is_alive()]
        for kind in self._order:
            # Faults on instances overlap also with each other.
            limit = 2 if _part_of(kind) == 'instance' else 1
            if running.count(_part_of(kind)) < limit:
                self._order.remove(kind)
                return kind
        return None

    def open(self, target, kind):
        """Log a fault that has no end yet."""
        entry = {
            'target': target,
            'kind': kind,
            'begin': time.time(),
            'end': float('inf'),
        }
        self.seen.faults.append(entry)
        return entry

    def pause(self, longest_s):
        """Let a fault last; the end of the run cuts it short."""
        self.stop.wait(longest_s)

    def _inject(self, kind, seed):
        self.injected[kind] += 1
        try:
            FAULTS[kind](self, random.Random(seed))
        except Exception as error:  # noqa: BLE001
            self.errors.append(f'{kind} (seed {seed}): {error!r}')

    def claim_instance(self, rng):
        """Reserve an instance that has no fault."""
        free = [
            number
            for number in range(self.fleet.instance_count)
            if number not in self._busy
        ]
        number = rng.choice(free)
        self._busy.add(number)
        return number

    def release_instance(self, number, entry):
        """Wait until the instance is ready and end its fault."""
        port = self.fleet.instances[number].operators
        is_ready = eventually(
            lambda: call(port, 'GET', '/readyz', timeout_s=2).status == 200,
            READY_LIMIT_S,
        )
        entry['end'] = time.time()
        entry['ready'] = bool(is_ready)
        self._busy.discard(number)

    def search_leafs(self, service):
        """Return the ports of the leafs of a service."""
        return [
            port
            for leaf_id, port in self.fleet.leaf_ports.items()
            if leaf_id.rpartition('-')[0].startswith(service)
        ]


@fault
def instance_kill(faults, rng):
    """SIGKILL and a new start at the same addresses."""
    number = faults.claim_instance(rng)
    name = f'entry-{number}'
    entry = faults.open(name, 'kill')
    faults.fleet.signal(name, signal.SIGKILL)
    faults.fleet.processes[name].wait(STOP_LIMIT_S)
    faults.pause(rng.uniform(0, 3))
    entry['running_from'] = time.time()
    faults.fleet.start_instance(number)
    faults.release_instance(number, entry)


@fault
def instance_stop(faults, rng):
    """SIGSTOP and SIGCONT."""
    number = faults.claim_instance(rng)
    name = f'entry-{number}'
    entry = faults.open(name, 'stop')
    faults.fleet.signal(name, signal.SIGSTOP)
    faults.pause(rng.uniform(0.5, faults.max_stop_s))
    entry['running_from'] = time.time()
    faults.fleet.signal(name, signal.SIGCONT)
    faults.release_instance(number, entry)


@fault
def instance_term(faults, rng):
    """SIGTERM with a successor at the same addresses, started meanwhile."""
    number = faults.claim_instance(rng)
    name = f'entry-{number}'
    entry = faults.open(name, 'term')
    leaving = faults.fleet.processes[name]
    leaving.send_signal(signal.SIGTERM)
    faults.fleet.processes[f'{name}-{leaving.pid}'] = leaving
    if rng.random() < 0.5:
        leaving.wait(STOP_LIMIT_S)
    entry['running_from'] = time.time()
    faults.fleet.start_instance(number)
    status = leaving.wait(STOP_LIMIT_S)
    faults.seen.exits.append(
        {'instance': name, 'status': status, 'at': time.time()}
    )
    faults.release_instance(number, entry)


@fault
def kv_outage(faults, rng):
    """Outage of the key-value service."""
    _disturb_kv(faults, rng.uniform(1, 8), {'down': True}, {'down': False})


@fault
def kv_delay(faults, rng):
    """Slow answers of the key-value service."""
    setting = {'delay_ms': rng.choice((50, 300, 1500))}
    _disturb_kv(faults, rng.uniform(1, 6), setting, {'delay_ms': 0})


@fault
def kv_lost_answers(faults, rng):
    """Answer writes that take effect with an error."""
    count = rng.randint(1, 5)
    faulty = {'lose_write_answers': count}
    _disturb_kv(faults, 3, faulty, {'lose_write_answers': 0})


@fault
def kv_late_writes(faults, rng):
    """Answer writes with an error and let them take effect later."""
    late_ms = rng.choice((200, 1500, 4000))
    faulty = {'late_writes': rng.randint(1, 5), 'late_write_ms': late_ms}
    _disturb_kv(faults, 3 + late_ms / 1000, faulty, {'late_writes': 0})


@fault
def kv_restore(faults, rng):
    """Restore of an older document; claims are kept."""
    port = faults.fleet.key_value_port
    faults.fleet.control(port, snapshot=True)
    faults.pause(rng.uniform(2, 8))
    entry = faults.open('kv', 'restore')
    faults.fleet.control(
        port, restore=True, restore_prefix='clementinebank/document'
    )
    entry['end'] = time.time()


def _disturb_kv(faults, length_s, faulty, healthy):
    port = faults.fleet.key_value_port
    entry = faults.open('kv', '/'.join(faulty))
    faults.fleet.control(port, **faulty)
    faults.pause(length_s)
    faults.fleet.control(port, **healthy)
    entry['end'] = time.time()


@fault
def list_stale(faults, rng):
    """Serve a list with an instance wrongly leaving and others missing."""
    port = faults.fleet.list_port
    listed = faults.fleet.listed_instances()
    stale = rng.sample(listed, len(listed) // 2)
    stale[0] = {**stale[0], 'state': 'leaving'}
    entry = faults.open('list', 'stale')
    faults.fleet.control(port, instances=stale, down=rng.random() < 0.3)
    faults.pause(rng.uniform(2, 8))
    faults.fleet.control(port, instances=listed, down=False)
    entry['end'] = time.time()


@fault
def leaf_drain(faults, rng):
    """Leafs that drain."""
    _disturb_leafs(faults, rng, {'state': 'draining'}, {'state': 'serving'}, 8)


@fault
def leaf_die(faults, rng):
    """Leafs that close every connection."""
    _disturb_leafs(faults, rng, {'dead': True}, {'dead': False}, 5)


@fault
def leaf_slow(faults, rng):
    """Slow leafs."""
    slow = {'delay_ms': rng.choice((30, 120, 600))}
    _disturb_leafs(faults, rng, slow, {'delay_ms': 1}, 5)


@fault
def leaf_shed(faults, rng):
    """Leafs that shed load."""
    _disturb_leafs(faults, rng, {'shed': True}, {'shed': False}, 5)


@fault
def leaf_untrue(faults, rng):
    """Leafs that answer crossed or malformed, or cut after an execution."""
    replies = (
        'malformed', 'crossed', 'previous', 'previous_body', 'wrong_snapshot',
    )  # fmt: skip
    untrue = {'reply': rng.choice(replies), 'execute_reply': 'cut'}
    _disturb_leafs(
        faults, rng, untrue, {'reply': 'good', 'execute_reply': 'good'}, 4
    )


def _disturb_leafs(faults, rng, faulty, healthy, longest_s):
    count = rng.randint(1, 4)
    chosen = rng.sample(sorted(faults.fleet.leaf_ports), count)
    entries = []
    for leaf_id in chosen:
        entries.append(faults.open(leaf_id, str(faulty)))
        faults.fleet.control(faults.fleet.leaf_ports[leaf_id], **faulty)
    faults.pause(rng.uniform(longest_s / 2, longest_s))
    for leaf_id, entry in zip(chosen, entries, strict=True):
        faults.fleet.control(faults.fleet.leaf_ports[leaf_id], **healthy)
        entry['end'] = time.time()


@fault
def snapshot_new(faults, rng):
    """Serve a new snapshot, also a repartitioned one, from leaf to leaf."""
    service = rng.choice(sorted(faults.seen.groups_by_service))
    old = faults.sequences.get(service, 1)
    new = old + 1
    faults.sequences[service] = new
    per_group = rng.choice((2, 2, 1, 3))
    faults.seen.per_group[service, f's-{new}'] = per_group
    sizes = {
        snapshot.removeprefix('s-'): count
        for (owner, snapshot), count in faults.seen.per_group.items()
        if owner == service
    }
    entry = faults.open(service, f'snapshot s-{new} of {per_group} per group')
    ports = faults.search_leafs(service)
    rng.shuffle(ports)
    for port in ports:
        faults.fleet.control(
            port, sequences=[old, new], partitions_per_group=sizes
        )
    faults.pause(rng.uniform(0, 3))
    for port in ports:
        faults.fleet.control(port, sequences=[new])
    entry['end'] = time.time()
