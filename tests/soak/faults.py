"""Faults that a soak injects, in a random order that its seed determines."""

import random
import signal
import threading
import time
from collections import Counter

import attrs

from tests.harness import send_request, wait_until

STOP_LIMIT_S = 25
READY_LIMIT_S = 20
FAULTS = {}


def fault(function):
    """Register a fault as the kind that its function is named after."""
    FAULTS[function.__name__] = function
    return function


def _component_of(kind):
    return kind.partition('_')[0]


@attrs.define(eq=False)
class FaultInjector:
    """Injects faults, each in a thread of its own, and records their times.

    Parameters
    ----------
    fleet : Fleet
        Processes to disturb.
    observed : Observations
        Receives the faults and the exit statuses of instances.
    stop : threading.Event
        Set when the faults shall end.
    rng : random.Random
        Source of all random choices.
    kinds : list of str
        Names of the faults to inject.
    interval_s : float
        Mean time between the starts of faults.
    max_stop_s : float
        Longest time for which an instance is stopped with SIGSTOP.
    sequences : dict of str to int
        Sequence number of the newest snapshot by service.
    errors : list of str
        Failures to inject a fault, which make the run ineffective.
    injected : Counter of str
        Injected faults by kind.
    """

    fleet: object
    observed: object
    stop: threading.Event
    rng: random.Random
    kinds: list
    interval_s: float = 1.0
    max_stop_s: float = 20.0
    sequences: dict = attrs.Factory(dict)
    serving: dict = attrs.Factory(dict)
    begin: float = attrs.Factory(time.time)
    errors: list = attrs.Factory(list)
    _fault_threads: list = attrs.Factory(list)
    _reserved_instances: set = attrs.Factory(set)
    _remaining_kinds: list = attrs.Factory(list)
    injected: Counter = attrs.Factory(Counter)

    def run(self):
        """Inject faults until ``stop`` is set, then wait for their ends."""
        while not self.stop.wait(self.rng.uniform(0.3, 1.7) * self.interval_s):
            seed = self.rng.getrandbits(32)
            kind = self._choose_kind()
            if kind is not None:
                thread = threading.Thread(
                    target=self._inject,
                    args=(kind, seed),
                    name=_component_of(kind),
                )
                self._fault_threads.append(thread)
                thread.start()
        for thread in self._fault_threads:
            thread.join()

    def _choose_kind(self):
        """Return the kind of the next fault, or None if none can start.

        A component has at most one fault at a time, the instances two.

        Every kind is injected once, in a random order, before any comes
        again, so that a run of a minute includes each of them.
        """
        if not self._remaining_kinds:
            self._remaining_kinds = self.rng.sample(self.kinds, len(self.kinds))
        running = [each.name for each in self._fault_threads if each.is_alive()]
        for kind in self._remaining_kinds:
            # Two instances may have a fault at the same time.
            limit = 2 if _component_of(kind) == 'instance' else 1
            if running.count(_component_of(kind)) < limit:
                self._remaining_kinds.remove(kind)
                return kind
        return None

    def record_start(self, target, kind):
        """Record the start of a fault and return its entry.

        The caller sets ``end`` of the entry when the fault has ended.
        """
        entry = {
            'target': target,
            'kind': kind,
            'begin': time.time(),
            'end': float('inf'),
        }
        self.observed.faults.append(entry)
        return entry

    def wait(self, max_s):
        """Wait for the given time, or less if the run ends before."""
        self.stop.wait(max_s)

    def _inject(self, kind, seed):
        self.injected[kind] += 1
        try:
            FAULTS[kind](self, random.Random(seed))
        except Exception as error:  # noqa: BLE001
            self.errors.append(f'{kind} (seed {seed}): {error!r}')

    def reserve_instance(self, rng):
        """Reserve an instance that has no fault and return its number."""
        free = [
            number
            for number in range(self.fleet.instance_count)
            if number not in self._reserved_instances
        ]
        number = rng.choice(free)
        self._reserved_instances.add(number)
        return number

    def end_instance_fault(self, number, entry):
        """Wait until the instance is ready, record the end and free it.

        ``ready`` of the entry is False if the instance did not become ready
        within ``READY_LIMIT_S``.
        """
        port = self.fleet.instances[number].operators
        is_ready = wait_until(
            lambda: (
                send_request(port, 'GET', '/readyz', timeout_s=2).status == 200
            ),
            READY_LIMIT_S,
        )
        entry['end'] = time.time()
        entry['ready'] = bool(is_ready)
        self._reserved_instances.discard(number)

    def leaf_ports_of(self, service):
        """Return the ports of the leafs of a service."""
        return [
            port
            for leaf_id, port in self.fleet.leaf_ports.items()
            if leaf_id.rpartition('-')[0].startswith(service)
        ]


@fault
def instance_kill(injector, rng):
    """Kill an instance and start it again at the same addresses."""
    number = injector.reserve_instance(rng)
    name = f'entry-{number}'
    entry = injector.record_start(name, 'kill')
    injector.fleet.send_signal(name, signal.SIGKILL)
    injector.fleet.processes[name].wait(STOP_LIMIT_S)
    injector.wait(rng.uniform(0, 3))
    entry['running_from'] = time.time()
    injector.fleet.start_instance(number)
    injector.end_instance_fault(number, entry)


@fault
def instance_stop(injector, rng):
    """Stop an instance with SIGSTOP and resume it with SIGCONT."""
    number = injector.reserve_instance(rng)
    name = f'entry-{number}'
    entry = injector.record_start(name, 'stop')
    injector.fleet.send_signal(name, signal.SIGSTOP)
    injector.wait(rng.uniform(0.5, injector.max_stop_s))
    entry['running_from'] = time.time()
    injector.fleet.send_signal(name, signal.SIGCONT)
    injector.end_instance_fault(number, entry)


@fault
def instance_term(injector, rng):
    """Terminate an instance and start its successor at the same addresses.

    In half of the cases the successor starts while the old process still
    shuts down.
    """
    number = injector.reserve_instance(rng)
    name = f'entry-{number}'
    entry = injector.record_start(name, 'term')
    old_process = injector.fleet.processes[name]
    old_process.send_signal(signal.SIGTERM)
    injector.fleet.processes[f'{name}-{old_process.pid}'] = old_process
    if rng.random() < 0.5:
        old_process.wait(STOP_LIMIT_S)
    entry['running_from'] = time.time()
    injector.fleet.start_instance(number)
    status = old_process.wait(STOP_LIMIT_S)
    injector.observed.exits.append(
        {'instance': name, 'status': status, 'at': time.time()}
    )
    injector.end_instance_fault(number, entry)


@fault
def kv_outage(injector, rng):
    """Let the key-value service refuse every call."""
    _run_kv_fault(injector, rng.uniform(1, 8), {'down': True}, {'down': False})


@fault
def kv_delay(injector, rng):
    """Delay the responses of the key-value service."""
    faulty_fields = {'delay_ms': rng.choice((50, 300, 1500))}
    _run_kv_fault(injector, rng.uniform(1, 6), faulty_fields, {'delay_ms': 0})


@fault
def kv_lost_answers(injector, rng):
    """Let the key-value service answer applied writes with an error."""
    count = rng.randint(1, 5)
    faulty_fields = {'lose_write_answers': count}
    _run_kv_fault(injector, 3, faulty_fields, {'lose_write_answers': 0})


@fault
def kv_late_writes(injector, rng):
    """Let the key-value service refuse writes, but apply them later."""
    late_ms = rng.choice((200, 1500, 4000))
    faulty_fields = {'late_writes': rng.randint(1, 5), 'late_write_ms': late_ms}
    _run_kv_fault(
        injector, 3 + late_ms / 1000, faulty_fields, {'late_writes': 0}
    )


@fault
def kv_restore(injector, rng):
    """Restore an older document in the key-value service, but no claims."""
    port = injector.fleet.key_value_port
    injector.fleet.set_faults(port, snapshot=True)
    injector.wait(rng.uniform(2, 8))
    entry = injector.record_start('kv', 'restore')
    injector.fleet.set_faults(
        port, restore=True, restore_prefix='clementinebank/document'
    )
    entry['end'] = time.time()


def _run_kv_fault(injector, duration_s, faulty_fields, normal_fields):
    port = injector.fleet.key_value_port
    entry = injector.record_start('kv', '/'.join(faulty_fields))
    injector.fleet.set_faults(port, **faulty_fields)
    injector.wait(duration_s)
    injector.fleet.set_faults(port, **normal_fields)
    entry['end'] = time.time()


@fault
def list_stale(injector, rng):
    """Let the instance list report one instance as leaving and omit others."""
    port = injector.fleet.instance_list_port
    listed = injector.fleet.listed_instances()
    stale = rng.sample(listed, len(listed) // 2)
    stale[0] = {**stale[0], 'state': 'leaving'}
    entry = injector.record_start('list', 'stale')
    injector.fleet.set_faults(port, instances=stale, down=rng.random() < 0.3)
    injector.wait(rng.uniform(2, 8))
    injector.fleet.set_faults(port, instances=listed, down=False)
    entry['end'] = time.time()


@fault
def leaf_drain(injector, rng):
    """Let some leafs drain."""
    _run_leaf_fault(
        injector, rng, {'state': 'draining'}, {'state': 'serving'}, 8
    )


@fault
def leaf_die(injector, rng):
    """Let some leafs close every connection."""
    _run_leaf_fault(injector, rng, {'dead': True}, {'dead': False}, 5)


@fault
def leaf_slow(injector, rng):
    """Delay the replies of some leafs."""
    slow = {'delay_ms': rng.choice((30, 120, 600))}
    _run_leaf_fault(injector, rng, slow, {'delay_ms': 1}, 5)


@fault
def leaf_shed(injector, rng):
    """Let some leafs shed all work."""
    _run_leaf_fault(injector, rng, {'shed': True}, {'shed': False}, 5)


@fault
def leaf_untrue(injector, rng):
    """Let some leafs send wrong replies to searches and cut executions.

    The replies are malformed, belong to another request or come from a wrong
    snapshot. Executions run, but get no reply.
    """
    replies = (
        'malformed', 'crossed', 'previous', 'previous_body', 'wrong_snapshot',
    )  # fmt: skip
    untrue = {'reply': rng.choice(replies), 'execute_reply': 'cut'}
    _run_leaf_fault(
        injector, rng, untrue, {'reply': 'good', 'execute_reply': 'good'}, 4
    )


@fault
def leaf_limit(injector, rng):
    """Let some leafs name a rate limit, and observe what they get.

    A limit takes longer than other faults, so that there are windows in which
    it must be kept.
    """
    per_s = rng.choice((0.5, 2, 8))
    entries = _run_leaf_fault(
        injector, rng, {'rate_limit': str(per_s)}, {'rate_limit': ''}, 16
    )
    for entry in entries:
        port = injector.fleet.leaf_ports[entry['target']]
        reply = send_request(port, 'GET', '/observed')
        arrivals = reply.decoded_body['work_arrivals']
        limit = {**entry, 'per_s': per_s, 'arrivals': arrivals}
        injector.observed.limits.append(limit)


def _run_leaf_fault(injector, rng, faulty_fields, normal_fields, max_s):
    count = rng.randint(1, 4)
    chosen = rng.sample(sorted(injector.fleet.leaf_ports), count)
    entries = []
    for leaf_id in chosen:
        entries.append(injector.record_start(leaf_id, str(faulty_fields)))
        injector.fleet.set_faults(
            injector.fleet.leaf_ports[leaf_id], **faulty_fields
        )
    injector.wait(rng.uniform(max_s / 2, max_s))
    for leaf_id, entry in zip(chosen, entries, strict=True):
        injector.fleet.set_faults(
            injector.fleet.leaf_ports[leaf_id], **normal_fields
        )
        entry['end'] = time.time()
    return entries


@fault
def snapshot_new(injector, rng):
    """Replace the snapshot of a service, one leaf after the other.

    The new snapshot may have another number of partitions.
    """
    service = rng.choice(sorted(injector.observed.groups_by_service))
    old_sequence = injector.sequences.get(service, 1)
    new_sequence = old_sequence + 1
    injector.sequences[service] = new_sequence
    per_group = rng.choice((2, 2, 1, 3))
    injector.observed.per_group[service, f's-{new_sequence}'] = per_group
    sizes = {
        snapshot.removeprefix('s-'): count
        for (owner, snapshot), count in injector.observed.per_group.items()
        if owner == service
    }
    entry = injector.record_start(
        service, f'snapshot s-{new_sequence} of {per_group} per group'
    )
    ports = injector.leaf_ports_of(service)
    rng.shuffle(ports)
    for port in ports:
        injector.fleet.set_faults(
            port,
            sequences=[old_sequence, new_sequence],
            partitions_per_group=sizes,
        )
    injector.wait(rng.uniform(0, 3))
    for port in ports:
        injector.fleet.set_faults(port, sequences=[new_sequence])
    entry['end'] = time.time()
