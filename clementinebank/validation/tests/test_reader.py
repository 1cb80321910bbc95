"""Guards the reader of fields against values that Python can't convert.

Fault of issue 45: a number beyond the range of a float was reported, then
converted, and the exception ended the read of all entries of the store.
"""

import pytest

from clementinebank.validation import FieldReader

MINIMUM, MAXIMUM = 2, 9
NESTED = []
for _ in range(100_000):
    NESTED = [NESTED]
ODD_NUMBERS = {
    'beyond 64 bits': 2**70,
    'beyond a float': 10**400,
    'negative and beyond a float': -(10**400),
    'too long to print': 16**5000,
    'infinite': float('inf'),
    'not a number': float('nan'),
    'text': '3',
    'truth value': True,
    'list of a long number': [16**5000],
    'nested too deeply': NESTED,
    'no value': None,
}


@pytest.mark.parametrize('kind', ['integer', 'number'])
@pytest.mark.parametrize('name', ODD_NUMBERS)
def test_odd_number_is_one_problem_and_read_within_its_bounds(kind, name):
    reader = FieldReader({'size': ODD_NUMBERS[name]}, 'leaf')
    read = getattr(reader, kind)
    assert MINIMUM <= read('size', minimum=MINIMUM, maximum=MAXIMUM) <= MAXIMUM
    (problem,) = reader.problems
    assert problem.field == 'leaf.size'


@pytest.mark.parametrize('kind', ['text', 'address', 'addresses', 'child'])
@pytest.mark.parametrize('name', ['too long to print', 'nested too deeply'])
def test_odd_value_of_another_type_is_one_problem(kind, name):
    reader = FieldReader({'size': ODD_NUMBERS[name]})
    getattr(reader, kind)('size')
    (problem,) = reader.problems
    assert problem.field == 'size'


def test_problem_quotes_the_beginning_of_a_long_value():
    reader = FieldReader({'size': 'x' * 10_000})
    reader.integer('size')
    (problem,) = reader.problems
    assert 'xxx...' in problem.message
    assert len(problem.message) < 300
