"""Faults of gateway processes and of the store, drawn from a seed."""

import signal
from collections import Counter

import attrs
import curio

from clementinebank.clock import now
from tests.soak.gateway_checks import STORE, Disturbance

EXIT_LIMIT_S = 10
EXIT_CHECK_S = 0.02
GATEWAY_FAULTS = {}


def gateway_fault(function):
    """Register a fault as the kind that its function is named after."""
    GATEWAY_FAULTS[function.__name__] = function
    return function


@attrs.define(eq=False)
class GatewayFaults:
    """Injects faults in series and overlapping, and records their times.

    Parameters
    ----------
    history : GatewayHistory
        Receives the disturbances and the starts of processes.
    rng : random.Random
        Source of all choices.
    processes, writers
        What is disturbed, and who writes again what the store loses.
    paths_by_id : dict of str to StorePath
        Path of each process to the store.
    injected : Counter of str
        Injected faults by kind.
    """

    history: object
    rng: object
    processes: list = attrs.Factory(list)
    writers: object = None
    paths_by_id: dict = attrs.Factory(dict)
    injected: Counter = attrs.Factory(Counter)
    _disturbed_ids: set = attrs.Factory(set)
    _store_lock: object = attrs.Factory(curio.Lock)

    async def run(self, kinds, duration_s):
        """Inject faults for a time and wait until all are over.

        Every kind comes once, in a random order, before any comes again; a
        drill is the first.
        """
        end = now() + duration_s
        tasks, remaining = [], []
        while now() < end:
            if not remaining:
                remaining = self.rng.sample(kinds, len(kinds))
                remaining.sort(key='drill'.__eq__)
            kind = remaining.pop()
            self.injected[kind] += 1
            tasks.append(await curio.spawn(GATEWAY_FAULTS[kind], self))
            await curio.sleep(min(self._pause_s(kind), max(0, end - now())))
        for task in tasks:
            await task.join()

    def _pause_s(self, kind):
        """Return the time from the start of a fault to the next one.

        The next one overlaps it or finds the system calm. A drill without
        another fault is judged first.
        """
        if kind == 'drill':
            return self.rng.uniform(12, 16)
        pauses_s = self.rng.uniform(0, 2), self.rng.uniform(7, 11)
        return self.rng.choice(pauses_s)

    def begin(self, target, kind):
        """Record the begin of a disturbance; the caller sets its end."""
        disturbance = Disturbance(target, kind, now())
        self.history.disturbances.append(disturbance)
        return disturbance

    def reserve(self):
        """Return a process without a fault, ``None`` if there is none."""
        free = [
            each
            for each in self.processes
            if each.instance_id not in self._disturbed_ids
        ]
        if not free:
            return None
        process = self.rng.choice(free)
        self._disturbed_ids.add(process.instance_id)
        self.note_end(process)
        return process

    def note_end(self, process):
        """Record a process that has ended by itself."""
        if process.process.poll() is not None:
            self.history.ended_ids.append(process.instance_id)

    def release(self, process):
        self._disturbed_ids.discard(process.instance_id)

    def restart(self, process, disturbance):
        """Start a process again that has ended."""
        process.start()
        disturbance.end = now()
        self.history.starts_by_id[process.instance_id].append(now())

    async def disturb_store(self, kind, duration_s, **fields):
        """Set fields of the store for some time; one disturbance at a time."""
        store = self.writers.platform.store
        async with self._store_lock:
            disturbance = self.begin(STORE, kind)
            normal = {name: getattr(store, name) for name in fields}
            for name, setting in fields.items():
                setattr(store, name, setting)
            await curio.sleep(duration_s)
            for name, setting in normal.items():
                setattr(store, name, setting)
            disturbance.end = now()

    async def drill(self):
        """Let the store come back from a copy, with its writers' next writes.

        In most drills they write at once, and more than the copy lacks; in
        the others each after a time, also what it wrote first in the lost time.
        """
        store, writers = self.writers.platform.store, self.writers
        async with self._store_lock:
            copy, copied_at = store.copy(), now()
            is_rush = self.rng.random() < 0.7
            if not is_rush:
                await writers.add_spare_leaf()
            await curio.sleep(self.rng.uniform(1, 4))
            writers.is_away = True
            disturbance = self.begin(STORE, 'drill')
            await store.go_away()
            keys = writers.lose_since(copied_at, now())
            await curio.sleep(self.rng.uniform(0.3, 1.5))
            lost_revision = store.revision
            store.restore(copy)
            writers.is_away = False
            writers.quiet_until = now() + self.rng.uniform(0, 15)
            if is_rush:
                extra = self.rng.randint(-5, 20)
                await writers.write_at_once(keys, lost_revision + extra)
            await store.serve()
            disturbance.end = now()
            if not is_rush:
                await writers.write_in_time(keys, disturbance.end)


@gateway_fault
async def drill(faults):
    """Let the store come back older."""
    await faults.drill()


@gateway_fault
async def drill_beside_kill(faults):
    await _beside(faults, kill)


@gateway_fault
async def drill_beside_freeze(faults):
    await _beside(faults, freeze)


@gateway_fault
async def drill_beside_kill_of_all(faults):
    await _beside(faults, kill_all)


async def _beside(faults, other):
    """Start another fault at some moment of a drill."""
    task = await curio.spawn(faults.drill)
    await curio.sleep(faults.rng.uniform(0, 5))
    await other(faults)
    await task.join()


@gateway_fault
async def drill_beside_path_cut(faults):
    await _beside(faults, path_cut)


@gateway_fault
async def path_cut(faults):
    """Let the path of a process to the store pass nothing on."""
    process = faults.reserve()
    if process is not None:
        path = faults.paths_by_id[process.instance_id]
        disturbance = faults.begin(process.instance_id, 'path_cut')
        path.is_cut = True
        await curio.sleep(faults.rng.uniform(0.5, 8))
        path.is_cut = False
        disturbance.end = now()
        faults.release(process)


@gateway_fault
async def kill(faults):
    """Kill a process and start it again."""
    process = faults.reserve()
    if process is not None:
        await _kill(faults, process, faults.rng.uniform(0, 3))


async def _kill(faults, process, down_s):
    disturbance = faults.begin(process.instance_id, 'kill')
    process.kill()
    await curio.sleep(down_s)
    faults.restart(process, disturbance)
    faults.release(process)


@gateway_fault
async def kill_all(faults):
    """Kill all processes without another fault and start them again."""
    down_s = faults.rng.uniform(0, 2)
    tasks = []
    while (process := faults.reserve()) is not None:
        tasks.append(await curio.spawn(_kill, faults, process, down_s))
    for task in tasks:
        await task.join()


@gateway_fault
async def freeze(faults):
    """Stop a process with SIGSTOP and resume it with SIGCONT."""
    process = faults.reserve()
    if process is not None:
        disturbance = faults.begin(process.instance_id, 'freeze')
        process.process.send_signal(signal.SIGSTOP)
        await curio.sleep(faults.rng.uniform(0.3, 6))
        process.process.send_signal(signal.SIGCONT)
        disturbance.end = now()
        faults.release(process)


@gateway_fault
async def term(faults):
    """End a process with SIGTERM and start it again."""
    process = faults.reserve()
    if process is not None:
        disturbance = faults.begin(process.instance_id, 'term')
        process.process.send_signal(signal.SIGTERM)
        async with curio.timeout_after(EXIT_LIMIT_S):
            while process.process.poll() is None:
                await curio.sleep(EXIT_CHECK_S)
        faults.restart(process, disturbance)
        faults.release(process)


@gateway_fault
async def reload(faults):
    """Tell a process that its settings have changed; disturbs nothing."""
    process = faults.reserve()
    if process is not None:
        process.process.send_signal(signal.SIGHUP)
        faults.release(process)


@gateway_fault
async def store_silent(faults):
    await faults.disturb_store(
        'silent', faults.rng.uniform(0.5, 4), is_silent=True
    )


@gateway_fault
async def store_refusing(faults):
    await faults.disturb_store(
        'refusing', faults.rng.uniform(0.5, 4), is_down=True
    )


@gateway_fault
async def store_slow(faults):
    await faults.disturb_store(
        'slow',
        faults.rng.uniform(0.5, 4),
        delay_s=faults.rng.choice((0.1, 0.4, 1.2)),
    )


@gateway_fault
async def forgotten_history(faults):
    """Let the store drop its history; disturbs nothing."""
    faults.writers.platform.store.compact()
