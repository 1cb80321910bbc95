"""Guards the settings of a gateway and their reload.

An invalid field must be reported by its name. A changed file must be loaded
without a signal, and an unchanged or invalid one must change nothing.
"""

import resource

import curio
import pytest
from result import Err

from clementinebank.clock import FakeClockKernel
from clementinebank.gateway import ResourceLimits, load_gateway_settings
from clementinebank.gateway._reload import (
    FILE_CHECK_INTERVAL_S,
    SettingsWatcher,
)
from clementinebank.http import Holding, MemoryPart
from clementinebank.validation import Address

MAX_BODY_BYTES = 262_144
GOOD = """\
instance_id: g-1
data_centre: dc-1
listen:
  callers: "127.0.0.1:1"
  readiness: "127.0.0.1:2"
  metrics: "127.0.0.1:3"
  peers: "127.0.0.1:5"
seeds: ["127.0.0.1:5", "127.0.0.1:6"]
control_store: "127.0.0.1:4"
regions_by_data_centre: {"dc-1": "region-1"}
resources:
  processor_share: 0.537
  processor_speed: 2
  memory_mb: 300
bounds:
  drain_ms: 3000
  shutdown_s: 6
  retry_ratio: 0.2
  retry_burst: 54
  stable_window_ms: 4000
  change_ms: 3000
"""


QUOTA_BOUNDS = """\
  quota_window_s: 4
  quota_excess: 0.25
  quota_slack: 12
"""


@pytest.fixture(name='path')
def _path(tmp_path):
    path = tmp_path / 'gateway.yaml'
    path.write_text(GOOD)
    return path


def test_bounds_of_quotas_are_read_and_strict_if_missing(path):
    strict = load_gateway_settings(path).ok_value.bounds.quota
    assert (strict.excess, strict.slack) == (0, 0)
    path.write_text(GOOD + QUOTA_BOUNDS)
    bounds = load_gateway_settings(path).ok_value.bounds.quota
    assert (bounds.window_s, bounds.excess, bounds.slack) == (4, 0.25, 12)
    path.write_text(GOOD + QUOTA_BOUNDS.replace('12', '-1'))
    (problem,) = load_gateway_settings(path).err_value
    assert problem.field == 'bounds.quota_slack'


def test_good_settings_are_read(path):
    settings = load_gateway_settings(path).ok_value
    assert settings.bounds.drain_s == 3
    assert settings.bounds.watch_wait_s == 5
    assert settings.bounds.freshness.max_change_delay_s == 3
    assert settings.resources.cores == 1.074
    assert settings.resources.buffer_limit.max_bytes == 60_000_000
    assert settings.seeds == (Address('127.0.0.1', 5), Address('127.0.0.1', 6))
    assert settings.regions_by_data_centre == {'dc-1': 'region-1'}


def test_limits_for_crowds_follow_from_the_machine(path):
    path.write_text(
        GOOD.replace('_mb: 300', '_mb: 160\n  max_descriptors: 4100')
    )
    resources = load_gateway_settings(path).ok_value.resources
    budget = resources.memory_budget
    assert budget.max_bytes == 40_000_000
    # Bodies of the largest size on the platform that are read at once.
    crowd = [Holding(budget, MemoryPart.REQUESTS) for _ in range(38)]
    assert all(each.grow_to(2 * MAX_BODY_BYTES) for each in crowd)
    assert resources.max_caller_connections == 800
    assert resources.max_peer_connections == 500


def test_connections_leave_descriptors_for_leafs():
    resources = ResourceLimits(0.5, 2, 552, 1000)
    assert resources.max_caller_connections == 400
    assert resources.max_peer_connections == 240


def test_limit_of_the_system_holds_without_a_setting(path):
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    settings = load_gateway_settings(path).ok_value
    assert settings.resources.max_descriptors == limit


@pytest.mark.parametrize(
    ('good', 'bad', 'field'),
    [
        ('drain_ms: 3000', 'drain_ms: -1', 'bounds.drain_ms'),
        ('retry_ratio: 0.2', 'retry_ratio: 2', 'bounds.retry_ratio'),
        ('instance_id: g-1', 'instance_id: 7', 'instance_id'),
        ('_speed: 2', '_speed: fast', 'resources.processor_speed'),
        ('memory_mb: 300', 'memory_mb: 1', 'resources.memory_mb'),
        (
            'memory_mb: 300',
            'memory_mb: 300\n  max_descriptors: 10',
            'resources.max_descriptors',
        ),
        ('_share: 0.537', '_share: 0', 'resources.processor_share'),
        ('_share: 0.537', '_part: 0.5', 'resources.processor_part'),
        ('"127.0.0.1:4"', '"store:4"', 'control_store'),
        ('  metrics: "127.0.0.1:3"\n', '', 'listen.metrics'),
        ('"127.0.0.1:6"]', '7]', 'seeds'),
        ('["127.0.0.1:5", "127.0.0.1:6"]', '"127.0.0.1:5"', 'seeds'),
        ('instance_id', 'instance_name', 'instance_name'),
    ],
)
def test_problem_names_its_field(path, good, bad, field):
    path.write_text(GOOD.replace(good, bad))
    loaded = load_gateway_settings(path)
    assert isinstance(loaded, Err)
    assert field in [problem.field for problem in loaded.err_value]


def _run_watcher(path, action):
    """Return the settings that a watcher passes on after an action."""
    received = []

    async def run():
        settings = load_gateway_settings(path).ok_value
        watcher = SettingsWatcher(path, settings, received.append)
        await curio.spawn(watcher.run, daemon=True)
        await curio.sleep(0)
        action(watcher)
        await curio.sleep(2 * FILE_CHECK_INTERVAL_S)

    with FakeClockKernel() as kernel:
        kernel.run(run)
    return received


def test_changed_file_is_loaded_without_a_signal(path):
    def change(watcher):
        path.write_text(GOOD.replace('54', '108'))

    assert [each.bounds.retry_burst for each in _run_watcher(path, change)] == [
        108
    ]


def test_signal_without_a_change_alters_nothing(path):
    assert not _run_watcher(
        path, lambda watcher: watcher.signal_waiter.notify()
    )


def test_invalid_change_leaves_the_settings_in_force(path):
    assert not _run_watcher(path, lambda watcher: path.write_text('bounds: 3'))


def test_placement_and_evacuation_are_read_and_optional(path):
    assert load_gateway_settings(path).ok_value.placement.policy == 'fastest'
    path.write_text(
        f'{GOOD}  evacuation_ms: 2500\n'
        'placement: {policy: priced, data_centre_price: 0.01}\n'
    )
    settings = load_gateway_settings(path).ok_value
    assert settings.placement.policy == 'priced'
    assert settings.placement.data_centre_price == 0.01
    assert settings.bounds.freshness.max_change_delay_s == 2.5


@pytest.mark.parametrize(
    ('placement', 'field'),
    [
        ('{policy: cheapest}', 'placement.policy'),
        ('{data_centre_price: -1}', 'placement.data_centre_price'),
        ('{region_price: 2}', 'placement.region_price'),
        (
            '{data_centre_price: 0.2, region_price: 0.1}',
            'placement.region_price',
        ),
        ('{max_away_share: much}', 'placement.max_away_share'),
        ('{price: 1}', 'placement.price'),
    ],
)
def test_bad_placement_is_reported_by_its_name(path, placement, field):
    path.write_text(f'{GOOD}placement: {placement}\n')
    problems = load_gateway_settings(path).err_value
    assert [problem.field for problem in problems] == [field]


def test_optional_fields_are_added_from_what_the_platform_states(path):
    """A field that the platform doesn't state must keep its default."""
    path.write_text(
        GOOD + '  optional: {evacuation_ms: evacuate, quota_slack: slack}\n'
        '  stated: {evacuate: 2500, drain_ms: 1, unknown: [1]}\n'
    )
    bounds = load_gateway_settings(path).ok_value.bounds
    assert bounds.evacuation_s == 2.5
    assert bounds.drain_s == 3


@pytest.mark.parametrize(
    ('stated', 'field'),
    [
        ('{evacuate: soon}', 'bounds.evacuation_ms'),
        ('[1]', 'bounds.stated'),
    ],
)
def test_bad_stated_field_is_reported_by_its_name(path, stated, field):
    path.write_text(
        GOOD + f'  optional: {{evacuation_ms: evacuate}}\n  stated: {stated}\n'
    )
    problems = load_gateway_settings(path).err_value
    assert [problem.field for problem in problems] == [field]
