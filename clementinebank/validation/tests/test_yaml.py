"""Guards against untrusted YAML that crashes the process.

Deep nesting overflows the stack of the C loader. Every other fault must be
reported as a problem, with its line wherever the parser states it.
"""

import pytest

from clementinebank.validation import parse_yaml


@pytest.mark.parametrize(
    'text',
    ['[' * 100_000, '- ' * 100_000, '? ' * 100_000, '{a: ' * 100_000],
)
def test_deep_nesting_is_refused(text):
    problem = parse_yaml(text).unwrap_err()
    # For flow collections, libyaml reports its own limit with another text.
    assert 'nest' in problem.message
    assert problem.line == 1


@pytest.mark.parametrize(
    ('text', 'line', 'message'),
    [
        ('a: 1\nb: [1\n', 3, 'invalid YAML'),
        ('a: 1\na: 2\n', 2, 'duplicate'),
        ('a: &x 1\nb: *x\n', 2, 'aliases'),
        ('a: 1\nb: !!python/name:os.system x\n', 2, 'invalid YAML'),
        ('a: \u65e5\nb: \x01\n', 2, 'not allowed'),
        ('a: \ud800\n', None, 'invalid YAML'),
        ('a: 2020-13-45\n', None, 'invalid YAML'),
    ],
)
def test_problem_names_its_line(text, line, message):
    problem = parse_yaml(text).unwrap_err()
    assert message in problem.message
    assert problem.line == line


def test_lines_of_fields():
    parsed = parse_yaml('# first\na:\n  b: [1, 2]\n').unwrap()
    assert parsed.data == {'a': {'b': [1, 2]}}
    assert parsed.lines_by_path == {'a': 2, 'a.b': 3, 'a.b.0': 3, 'a.b.1': 3}
