"""One run of the gateway soak: processes, leafs, writers and clients."""

import json
import random
from collections import Counter

import attrs
import curio
from fleet_adapter.tests.standins import StandInLeaf, StandInStore, route

from clementinebank.clock import now
from clementinebank.http import HttpResponse
from tests.gateway_clients import KeptClients
from tests.gateway_fleet import run_fleet, start_processes
from tests.soak.gateway_checks import (
    LASTING_PREFIX,
    Arrival,
    Deployment,
    GatewayHistory,
    Writing,
    find_problems,
)
from tests.soak.gateway_faults import GATEWAY_FAULTS, GatewayFaults
from tests.soak.gateway_paths import StorePath

CONFIGURATION_KEY = 'op/config'
DEPLOYMENTS = {
    'kumagawa': Deployment(
        (*('dc-1',) * 3, *('dc-2',) * 2, *('dc-3',) * 2), 3, 3, 4
    ),
    'blockwood': Deployment((*('dc-1',) * 3, 'dc-2', *('dc-3',) * 2), 4, 4, 5),
    'small': Deployment(('dc-1', 'dc-2', 'dc-3'), 3, 3, 4),
}
SERVICES = ('s1', 's2', 's3')
SPARE_SERVICES = ('d1', 'd2', 'd3')
DATA_CENTRES = ('dc-1', 'dc-2', 'dc-3')
LEAFS_PER_SERVICE = 6
# First letters of the routes that move between services.
MOVABLE = 'mnu'
MIN_LEAFS = 3
CLIENTS_PER_PROCESS = 2
CLIENT_PAUSE_S = 0.06
HEARTBEAT_S = 1.5
MAX_REWRITE_S = 2.0
AWAY_CHECK_S = 0.01


@attrs.frozen
class GatewayPlan:
    """What a run does.

    Parameters
    ----------
    seed, seconds, deployment : int, float, str
        Source of all choices, length of the load and name of the deployment.
    kinds : tuple of str
        Kinds of faults.
    """

    seed: int = 1
    seconds: float = 35
    deployment: str = 'kumagawa'
    kinds: tuple = tuple(GATEWAY_FAULTS)


@attrs.define(eq=False)
class SoakStore(StandInStore):
    """Store that may answer late, or not until a fault is over."""

    delay_s: float = 0
    is_silent: bool = False

    async def handle(self, request):
        await curio.sleep(self.delay_s)
        while self.is_silent:
            await curio.sleep(AWAY_CHECK_S)
        return await StandInStore.handle(self, request)


@attrs.define(eq=False)
class Writers:
    """The operator and the leafs, which write again what the store has lost.

    Parameters
    ----------
    platform, history, rng
        Where they write, what records it, and the source of choices.
    is_away : bool
        Whether the store is away, so that writes wait.
    quiet_until : float
        Time before which the operator writes no version, in seconds.
    """

    platform: object
    history: GatewayHistory
    rng: random.Random
    is_away: bool = False
    is_over: bool = False
    quiet_until: float = 0
    routes: dict = attrs.Factory(dict)
    leafs_by_id: dict = attrs.Factory(dict)
    _content_by_key: dict = attrs.Factory(dict)
    _written_at_by_key: dict = attrs.Factory(dict)
    _writings_by_key: dict = attrs.Factory(dict)
    _added: Counter = attrs.Factory(Counter)

    async def write(self, key, content, writing=None):
        """Write a key as soon as the store is there; ``None`` deletes it."""
        self._content_by_key[key] = content
        if writing is not None:
            self._writings_by_key[key] = writing
        while self.is_away:
            await curio.sleep(AWAY_CHECK_S)
        await self._write_again(key)

    async def _write_again(self, key):
        store, content = self.platform.store, self._content_by_key[key]
        if content is None:
            await store.delete(key)
        else:
            await store.put(key, content)
        self._written_at_by_key[key] = now()
        writing = self._writings_by_key.get(key)
        if writing is not None:
            writing.acknowledge(now())

    def lose_since(self, copied_at, lost_at):
        """Record that writes after a time are lost, and return their keys."""
        for each in self.history.writings():
            each.lose_since(copied_at, lost_at)
        written = self._written_at_by_key
        keys = [key for key, at in written.items() if at > copied_at]
        return sorted(keys, key=lambda _: self.rng.random())

    async def write_at_once(self, keys, revision):
        """Write the keys again and pass a revision, before any watch.

        A new version, a removal and a new leaf come first. None of them is
        written anew with the heartbeats.
        """
        await self._write_version()
        await self.add_spare_leaf()
        await self._remove_leaf(self._choose_leaf(self.rng.choice(SERVICES)))
        for key in keys:
            if key != CONFIGURATION_KEY:
                await self._write_again(key)
        while self.platform.store.revision <= revision:
            await self._beat(self.rng.choice(sorted(self.leafs_by_id)))

    async def write_in_time(self, keys, returned_at):
        """Write the keys again, each after a time of its own."""
        times = sorted(self.rng.uniform(0, MAX_REWRITE_S) for _ in keys)
        for key, at in zip(keys, times, strict=True):
            await curio.sleep(max(0, returned_at + at - now()))
            if self._written_at_by_key[key] < returned_at and not self.is_away:
                await self._write_again(key)

    async def change_versions(self):
        """Write new versions until the run is over.

        In a long pause, and after a drill, no later version makes up for one
        that was missed.
        """
        while not self.is_over:
            await self._pause()
            await self._write_version()

    async def _pause(self):
        pause_s = self.rng.choice(
            (self.rng.uniform(0.2, 4), self.rng.uniform(8, 13))
        )
        end = now() + pause_s
        while self.is_away or (
            now() < max(end, self.quiet_until) and not self.is_over
        ):
            await curio.sleep(AWAY_CHECK_S)

    async def _write_version(self):
        number = len(self.history.versions) + 1
        movable = [each for each in self.routes if each[1] in MOVABLE]
        added = [each for each in self.routes if each.startswith('/n')]
        if len(added) > 3 and self.rng.random() < 0.4:
            self.routes.pop(self.rng.choice(added))
        elif self.rng.random() < 0.5:
            prefix = self.rng.choice(movable)
            others = [each for each in SERVICES if each != self.routes[prefix]]
            self.routes[prefix] = self.rng.choice(others)
        else:
            self.routes[f'/n{number}/'] = self.rng.choice(SERVICES)
        await self.write_routes(number)

    async def write_routes(self, number):
        """Write the present routes as a version."""
        version = Writing(number, now(), dict(self.routes))
        self.history.versions.append(version)
        content = {
            'version': number,
            'routes': [
                route(
                    prefix,
                    service=service,
                    kind='unsafe' if prefix.startswith('/u') else 'safe',
                )
                for prefix, service in self.routes.items()
            ],
            'services': [
                {'name': each, 'max_conns': 31}
                for each in (*SERVICES, *SPARE_SERVICES)
            ],
            'limits': {'idle_timeout_ms': 15000},
        }
        self._content_by_key[CONFIGURATION_KEY] = content
        self._writings_by_key[CONFIGURATION_KEY] = version
        await self._write_again(CONFIGURATION_KEY)

    async def change_leafs(self):
        """Add, drain and remove leafs until the run is over."""
        while not self.is_over:
            await curio.sleep(self.rng.uniform(0.5, 2))
            service = self.rng.choice(SERVICES)
            if self.rng.random() < 0.5:
                await self.add_leaf(service)
            else:
                await self._remove_leaf(self._choose_leaf(service))

    def _choose_leaf(self, service):
        return self.rng.choice(
            [each for each in self.leafs_by_id if each.startswith(service)]
        )

    async def add_leaf(self, service):
        """Start a leaf and register it; those of drills send no heartbeats."""
        self._added[service] += 1
        number = self._added[service]
        leaf_id = f'{service}-{number}'

        async def respond(request, headers):
            request_id = request.headers['x-request-id']
            self.history.arrivals.append(Arrival(leaf_id, request_id, now()))
            return HttpResponse(200, headers, leaf_id.encode().ljust(16))

        leaf = StandInLeaf(leaf_id, service, respond)
        self.platform.leafs.append(leaf)
        await self.platform.serve(leaf)
        entry = leaf.entry(zone=DATA_CENTRES[number % len(DATA_CENTRES)])
        registration = Writing(leaf_id, now())
        self.history.registrations.append(registration)
        await self.write(f'servers/{leaf_id}', entry, registration)
        if service in SERVICES:
            self.leafs_by_id[leaf_id] = entry

    async def add_spare_leaf(self):
        """Register the only leaf of a service, if one has none yet."""
        spare = [each for each in SPARE_SERVICES if not self._added[each]]
        if spare:
            await self.add_leaf(spare[0])

    async def _remove_leaf(self, leaf_id):
        """Let a leaf drain, or remove its registration at once.

        If few are left, another one is registered instead.
        """
        service = leaf_id.partition('-')[0]
        count = sum(each.startswith(service) for each in self.leafs_by_id)
        if count <= MIN_LEAFS:
            await self.add_leaf(service)
            return
        entry = self.leafs_by_id.pop(leaf_id)
        self._writings_by_key[f'servers/{leaf_id}'].lose_since(0, now())
        removal = Writing(leaf_id, now())
        self.history.removals.append(removal)
        is_planned = self.rng.random() < 0.5
        content = {**entry, 'state': 'draining'} if is_planned else None
        await self.write(f'servers/{leaf_id}', content, removal)

    async def send_heartbeats(self):
        while not self.is_over:
            await curio.sleep(HEARTBEAT_S / len(self.leafs_by_id))
            leaf_id = self.rng.choice(sorted(self.leafs_by_id))
            if not self.is_away:
                await self._beat(leaf_id)

    async def _beat(self, leaf_id):
        entry = self.leafs_by_id[leaf_id]
        entry['sequence'] += 1
        self._content_by_key[f'servers/{leaf_id}'] = dict(entry)
        await self._write_again(f'servers/{leaf_id}')


def run_gateways(plan, directory):
    """Run the soak and return its history and the injected faults."""
    directory.mkdir(parents=True, exist_ok=True)
    deployment = DEPLOYMENTS[plan.deployment]
    history = GatewayHistory(deployment)
    faults = GatewayFaults(history, random.Random(f'{plan.seed}/faults'))

    async def scenario(platform, processes):
        await _run(plan, platform, processes, faults)

    run_fleet(
        directory,
        len(deployment.data_centres),
        scenario,
        data_centres=deployment.data_centres,
        bounds={
            'change_ms': deployment.change_s * 1000,
            'drain_ms': deployment.drain_s * 1000,
            'stable_window_ms': deployment.stable_s * 1000,
        },
    )
    return history, faults.injected


async def _run(plan, platform, processes, faults):
    history = faults.history
    writers = Writers(platform, history, random.Random(f'{plan.seed}/writers'))
    await _start(platform, processes, writers, faults)
    for process in processes:
        history.starts_by_id[process.instance_id] = [now()]
    choices = random.Random(f'{plan.seed}/clients')
    clients = KeptClients(
        lambda: _choose_request(writers, choices),
        history.exchanges,
        CLIENT_PAUSE_S,
    )
    await clients.start(processes, CLIENTS_PER_PROCESS)
    tasks = [
        await curio.spawn(each)
        for each in (
            writers.change_versions,
            writers.change_leafs,
            writers.send_heartbeats,
        )
    ]
    faults.processes, faults.writers = processes, writers
    # The last faults are followed by a time that is judged.
    quiet_s = 2 * history.deployment.stable_s
    await faults.run(plan.kinds, plan.seconds - quiet_s)
    await curio.sleep(quiet_s)
    writers.is_over = True
    for task in tasks:
        await task.join()
    await clients.stop()
    for process in processes:
        faults.note_end(process)


async def _start(platform, processes, writers, faults):
    platform.store = SoakStore(platform.store.address, era=1)
    for service in SERVICES:
        for _ in range(LEAFS_PER_SERVICE):
            await writers.add_leaf(service)
        writers.routes[f'{LASTING_PREFIX}{service}/'] = service
        writers.routes[f'/m{service}/'] = service
        writers.routes[f'/u{service}/'] = service
    for service in SPARE_SERVICES:
        writers.routes[f'/{service}/'] = service
    await writers.write_routes(1)
    await platform.store.serve()
    for process in processes:
        path = StorePath(platform.store.address)
        await path.serve()
        process.store = path.address
        faults.paths_by_id[process.instance_id] = path
    await start_processes(processes)


def _choose_request(writers, choices):
    """Return a request on a route of a recent version, or on none."""
    versions = writers.history.versions[-4:]
    version = choices.choice([*versions, versions[-1], versions[-1]])
    prefixes = [*version.services_by_prefix, '/none/']
    prefix = choices.choice(prefixes)
    return 'POST' if prefix.startswith('/u') else 'GET', f'{prefix}x'


def summarise_gateways(plan, history, injected, directory):
    """Judge a run, write it to the directory and return its summary."""
    problems = find_problems(history)
    statuses = Counter(str(each.status) for each in history.exchanges)
    summary = {
        **attrs.asdict(plan),
        'requests': len(history.exchanges),
        'statuses': dict(sorted(statuses.items())),
        'judged': len(history.judged()),
        'judged_after_drills': len(history.judged_after_drills()),
        'versions': len(history.versions),
        'removals': len(history.removals),
        'injected': dict(sorted(injected.items())),
        'problems': {name: len(found) for name, found in problems.items()},
    }
    record = {
        **summary,
        'problems': problems,
        'disturbances': list(map(str, history.disturbances)),
        'versions': list(map(str, history.versions)),
        'removals': list(map(str, history.removals)),
    }
    path = directory / 'record.json'
    path.write_text(json.dumps(record, indent=1))
    return summary


def is_judged(summary):
    """Return whether a run judged enough, also after a drill."""
    return summary['judged'] > 100 and summary['judged_after_drills'] > 0
