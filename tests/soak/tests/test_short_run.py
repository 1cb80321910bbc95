"""Guards against a soak that no longer runs, observes or passes."""

from tests.soak.faults import FAULTS
from tests.soak.run import Plan, is_effective, run, summarise

# Late writes and restores end at a moment that depends on the machine. An
# instance that has just started shows the fault of KNOWN-RED.txt
# (test_unowned_partitions.py) in some runs; add the instance kinds and remove
# the warm-up with its fix.
UNSTABLE = {'kv_late_writes', 'kv_restore'}
KINDS = tuple(
    kind
    for kind in sorted(FAULTS)
    if kind not in UNSTABLE and not kind.startswith('instance_')
)
PLAN = Plan(
    seed=5,
    seconds=6,
    deployment='kumagawa-small',
    instances=3,
    searchers=2,
    bookers=1,
    kinds=KINDS,
    settle_s=2,
    warm_up=True,
)


def test_short_run_passes_every_check(tmp_path):
    seen, errors = run(PLAN, tmp_path)
    summary = summarise(PLAN, seen, errors, tmp_path)
    assert is_effective(summary), summary
    assert not any(summary['problems'].values()), summary
