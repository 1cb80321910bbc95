"""Guards against a fake with weaker faults than the key-value service has.

Tests would then miss failures: a write that failed but took effect, a late
write that ignores the version, or a version that occurs again after a restore.
"""

import pytest

from clementinebank.clock import FakeClockKernel
from clementinebank.coordination.tests.fakes import FakeKeyValueService, Fault

KEY = 'key'


@pytest.fixture
def run():
    with FakeClockKernel() as kernel:
        yield kernel.run


@pytest.mark.parametrize(
    ('fault', 'stored'),
    [
        (Fault.DOWN, b''),
        (Fault.LOST_BEFORE_EFFECT, b''),
        (Fault.LOST_AFTER_EFFECT, b'new'),
        (Fault.LATE, b''),
    ],
)
def test_failed_swap_says_unknown(run, fault, stored):
    service = FakeKeyValueService()
    service.faults.append(fault)
    failure = run(service.compare_and_swap, KEY, b'new', 0).unwrap_err()
    assert failure.code != 'version_mismatch'
    assert run(service.read, KEY).unwrap().value == stored


def test_late_write_obeys_the_version(run):
    service = FakeKeyValueService()
    service.faults.extend([Fault.LATE, Fault.LATE])
    run(service.compare_and_swap, KEY, b'first', 0)
    run(service.compare_and_swap, KEY, b'second', 0)
    service.apply_late_writes()
    assert run(service.read, KEY).unwrap().value == b'first'


def test_restore_never_repeats_a_version(run):
    service = FakeKeyValueService()
    first = run(service.compare_and_swap, KEY, b'first', 0).unwrap()
    second = run(
        service.compare_and_swap, KEY, b'second', first.version
    ).unwrap()
    service.restore(KEY)
    entry = run(service.read, KEY).unwrap()
    assert entry.value == b'first'
    assert entry.version not in {first.version, second.version}
    refused = run(
        service.compare_and_swap, KEY, b'third', second.version
    ).unwrap_err()
    assert refused.code == 'version_mismatch'


def test_watch_ends_after_its_time(run):
    service = FakeKeyValueService()
    entry = service.put(KEY, b'first')
    assert run(service.watch, KEY, entry.version, 100).unwrap() is None
    assert run(service.watch, KEY, 0, 100).unwrap() == entry
