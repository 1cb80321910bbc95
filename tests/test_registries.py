"""Guards against incomplete entries of the registries.

An invariant, command, route, metric or answer policy can be registered
without its requirement, a valid example, documentation, a name that follows
the rules or acceptance by the document. No other test would notice that.
"""

import inspect
import re
import shlex
from pathlib import Path

import pytest

from clementinebank.cli._commands import COMMANDS
from clementinebank.cli._main import _build_parser
from clementinebank.document._parse_service import ANSWER_POLICY_NAMES
from clementinebank.invariants import INVARIANTS, VIOLATIONS_BY_NAME, check
from clementinebank.metrics import METRICS_BY_NAME
from clementinebank.search import ANSWER_POLICIES
from clementinebank.server import ROUTES

PROTOCOLS = Path(__file__).parent.parent / 'docs' / 'protocols.md'


@pytest.mark.parametrize('name', sorted(INVARIANTS))
def test_invariant_names_its_requirement(name):
    invariant = INVARIANTS[name]
    assert invariant.name == name
    assert re.fullmatch('R[1-8]', invariant.requirement)
    parameters = inspect.signature(invariant.predicate).parameters
    assert parameters


def test_every_requirement_of_an_answer_has_an_invariant():
    covered = {each.requirement for each in INVARIANTS.values()}
    assert covered >= {'R1', 'R2', 'R3', 'R5', 'R6', 'R7', 'R8'}


def test_violation_is_counted_and_returned():
    before = VIOLATIONS_BY_NAME['shutdown-cuts-no-request']
    assert not check('shutdown-cuts-no-request', 'r', in_flight=1)
    assert VIOLATIONS_BY_NAME['shutdown-cuts-no-request'] == before + 1


@pytest.mark.parametrize('name', sorted(COMMANDS))
def test_example_of_a_command_is_accepted_by_its_parser(name):
    words = shlex.split(COMMANDS[name].example)
    assert words[0] == 'clementinebank'
    options = _build_parser().parse_args(words[1:])
    assert options.command is COMMANDS[name]


@pytest.mark.parametrize('each', ROUTES, ids=lambda each: each.template)
def test_route_is_described(each):
    assert each.template in PROTOCOLS.read_text()
    assert inspect.getdoc(each.handler)


def test_routes_are_unique():
    keys = [(each.listener, each.method, each.template) for each in ROUTES]
    assert len(keys) == len(set(keys))


@pytest.mark.parametrize('name', sorted(METRICS_BY_NAME))
def test_metric_follows_the_naming_rules(name):
    metric = METRICS_BY_NAME[name]
    assert name.startswith('clementinebank_')
    assert name.endswith('_total') == (metric.kind == 'counter')
    assert metric.summary.endswith('.')


@pytest.mark.parametrize('name', sorted(ANSWER_POLICIES))
def test_answer_policy_is_accepted_by_the_document(name):
    assert name in ANSWER_POLICY_NAMES
