"""Guards against a soak that no longer runs, or whose checks fail.

The soak itself takes too long for every change of the code. A short run with
few processes shows that it still starts, observes enough and passes.
"""

from tests.soak.faults import FAULTS
from tests.soak.run import Plan, is_effective, run, summarise

# Left out because the moment at which late writes and restores end depends on
# the machine. Faults of instances are left out too: in some runs, an instance
# that had just started showed the fault that test_unowned_partitions.py guards
# against. With its fix (see KNOWN-RED.txt), add the faults of instances and
# remove waits_for_complete_answers.
UNRELIABLE_KINDS = {'kv_late_writes', 'kv_restore'}
KINDS = tuple(
    kind
    for kind in sorted(FAULTS)
    if kind not in UNRELIABLE_KINDS and not kind.startswith('instance_')
)
PLAN = Plan(
    seed=5,
    seconds=6,
    deployment='kumagawa-small',
    instances=3,
    searchers=2,
    bookers=1,
    fault_kinds=KINDS,
    wait_after_load_s=2,
    waits_for_complete_answers=True,
)


def test_short_run_passes_every_check(tmp_path):
    observed, errors = run(PLAN, tmp_path)
    summary = summarise(PLAN, observed, errors, tmp_path)
    assert is_effective(summary), summary
    assert not any(summary['problems'].values()), summary
