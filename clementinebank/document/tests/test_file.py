"""Tests of the document as a file that operators edit.

If a section text changes when the file is written or parsed, for instance
because a comment moves to another section, applying the file changes a section
that its editor did not touch.
"""

from pathlib import Path

import pytest

from clementinebank.document import parse_file, render_file, text_digest
from clementinebank.document.tests.samples import DESK, FLEET, TEXTS

EXAMPLES = sorted(Path('examples').glob('*.yaml'))
FILE = """\
# clementinebank base revision 7 fleet=00 service.desk=11

# Limits of the fleet.

fleet:
  owner: platform-team  # on call
  max_instances: 2
  # Inner comment.
  data_centres:
    north-a: {region: north}


# Above the desk.
service.desk: # on the line of the name
  owner: desk-team
  note: |
    # not a comment

    text
service.orders: {owner: orders-team,
  kind: booking}
# At the end.
"""


def test_sections_keep_their_comments():
    file = parse_file(FILE).unwrap()
    assert file.base.revision == 7
    assert file.base.digests_by_section == {'fleet': '00', 'service.desk': '11'}
    texts = file.texts_by_section
    assert texts['fleet'].startswith('# Limits of the fleet.\n\n  owner:')
    assert texts['fleet'].endswith('    north-a: {region: north}\n')
    assert '# Inner comment.' in texts['fleet']
    assert texts['service.desk'].startswith(
        '# Above the desk.\n# on the line of the name\n  owner: desk-team\n'
    )
    assert texts['service.desk'].endswith('    # not a comment\n\n    text\n')
    assert texts['service.orders'] == (
        '{owner: orders-team,\n  kind: booking}\n  # At the end.\n'
    )


def test_shown_file_gives_the_same_texts_again():
    texts = parse_file(FILE).unwrap().texts_by_section
    rendered = parse_file(render_file(texts, 7)).unwrap()
    assert rendered.texts_by_section.keys() == texts.keys()
    again = parse_file(render_file(rendered.texts_by_section, 7)).unwrap()
    assert again.texts_by_section == rendered.texts_by_section
    for name in ('fleet', 'service.desk'):
        assert rendered.texts_by_section[name] == texts[name]


@pytest.mark.parametrize('texts', [TEXTS, {'fleet': f'{FLEET}# End.\n'}])
def test_unedited_file_matches_its_digests(texts):
    file = parse_file(render_file({**TEXTS, **texts}, 3)).unwrap()
    assert file.base.revision == 3
    assert file.base.digests_by_section == {
        name: text_digest(text) for name, text in file.texts_by_section.items()
    }
    assert file.find_problems() == []


def test_blank_lines_and_last_line_break_change_nothing():
    rendered = render_file(TEXTS, 3)
    texts = parse_file(rendered).unwrap().texts_by_section
    for other in (
        rendered.rstrip('\n'),
        rendered + '\n\n',
        rendered.replace('\nservice.desk:', '\n\n\nservice.desk:'),
    ):
        assert parse_file(other).unwrap().texts_by_section == texts


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.name)
def test_examples_are_read(path):
    if not path.name.startswith('entry-'):
        assert parse_file(path.read_text()).unwrap().find_problems() == []


def _line_number_of(text, part):
    return next(
        number
        for number, line in enumerate(text.splitlines(), 1)
        if part in line
    )


@pytest.mark.parametrize(
    ('before', 'after', 'section', 'field', 'message'),
    [
        ('slots: 2', 'slots: 2s', 'service.desk', 'slots', 'an integer'),
        ('slots: 2', 'slots:', 'service.desk', 'slots', 'have a value'),
        ('slots: 2', 'slots: 30', 'service.desk', 'slots', 'cannot be used'),
        (
            'connections: 20',
            'connections: 1',
            'service.desk',
            'connections',
            'exceed the limit of the leaf',
        ),
        (
            'slots: 2',
            'deadline_s: 2',
            'service.desk',
            'deadline_s',
            'deadline_ms (milliseconds)',
        ),
        (
            'slots: 2',
            'deadline_ms: 110ms',
            'service.desk',
            'deadline_ms',
            '(milliseconds)',
        ),
        (
            'slots: 2',
            'deadline_ms: 5',
            'service.desk',
            'deadline_ms',
            'round trip',
        ),
        (
            'slots: 2',
            'extra_load: 5',
            'service.desk',
            'extra_load',
            'share of 1',
        ),
        ('slots: 2', 'slotz: 2', 'service.desk', 'slotz', 'mean slots'),
        (
            '10001',
            '70001',
            'service.desk',
            'groups.group-0.leafs.desk-0-a.address',
            'IP:PORT',
        ),
        (
            '10001',
            '\u0661',
            'service.desk',
            'groups.group-0.leafs.desk-0-a.address',
            'IP:PORT',
        ),
        (
            'max_instances: 2',
            'booking_writes_per_second: 3',
            'fleet',
            'booking_writes_per_second',
            'less than one write',
        ),
        (
            'slots: 4',
            'slots: 4\nslots: 4',
            'service.orders',
            'slots',
            'duplicate',
        ),
        ('slots: 4', 'slots: [4', 'service.orders', '$', 'invalid YAML'),
        ('slots: 4', 'slots: &a 4\nx: *a', 'service.orders', 'x', 'aliases'),
        (
            'slots: 4',
            'slots: !!python/name:os.system',
            'service.orders',
            '$',
            'invalid YAML',
        ),
        ('slots: 4', 'slots: ' + '[' * 3000, None, '$', 'invalid YAML'),
    ],
)
def test_problem_names_line_of_the_file_section_and_field(
    before, after, section, field, message
):
    rendered = render_file(TEXTS, 3)
    line = _line_number_of(rendered, before)
    text = rendered.replace(before, after.replace('\n', '\n  '))
    parsed = parse_file(text)
    problems = (
        parsed.unwrap().find_problems()
        if parsed.is_ok()
        else parsed.unwrap_err()
    )
    found = [each for each in problems if each.field.endswith(field)]
    assert found, problems
    assert message in found[0].message
    if section is not None:
        assert found[0].section == section
        assert line <= found[0].line <= line + 2


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        ('', 'mapping'),
        ('- a\n', 'mapping'),
        ('{fleet: {owner: a}}\n', 'start of a line'),
        ('? fleet\n: {owner: a}\n', 'start of a line'),
        ('fleet: {}\nfleet: {}\n', 'duplicate'),
    ],
)
def test_file_that_is_no_list_of_sections_is_refused(text, message):
    problems = parse_file(text).unwrap_err()
    assert message in problems[0].message


def test_markers_that_would_end_a_file_are_refused():
    for text in (f'---\n{DESK}', f'{DESK}...\n', f'\ufeff{DESK}'):
        file = parse_file(render_file(TEXTS, 3)).unwrap()
        assert file.find_problems() == []
        sections = {**TEXTS, 'service.desk': text}
        rendered = parse_file(render_file(sections, 3))
        assert rendered.is_err() or rendered.unwrap().find_problems()
