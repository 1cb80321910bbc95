"""Guards against settings errors that an operator cannot locate.

Each invalid, unknown or duplicate field must be reported with its name and
line, all of them in one run.
"""

from clementinebank.settings import load_settings

VALID = """\
instance_id: entry-1
data_centre: kokura-yard
listen:
  callers: 127.0.0.1:9000
  peers: 127.0.0.1:9001
  operators: 127.0.0.1:9002
platform:
  key_value: 127.0.0.1:9700
  instance_list: 127.0.0.1:9701
"""


def _load(tmp_path, text):
    path = tmp_path / 'settings.yaml'
    path.write_text(text)
    return load_settings(path)


def test_valid_settings(tmp_path):
    settings = _load(tmp_path, VALID).unwrap()
    assert settings.instance_id == 'entry-1'
    assert str(settings.callers) == '127.0.0.1:9000'


def test_every_problem_names_field_and_line(tmp_path):
    text = VALID.replace('127.0.0.1:9000', 'localhost:9000')
    text += 'drain_delay_ms: fast\ncolour: red\n'
    problems = _load(tmp_path, text).unwrap_err()
    found = {(problem.field, problem.line) for problem in problems}
    assert found == {
        ('listen.callers', 4),
        ('drain_delay_ms', 10),
        ('colour', 11),
    }


def test_duplicate_field_is_refused(tmp_path):
    problems = _load(tmp_path, VALID + 'instance_id: other\n').unwrap_err()
    assert problems[0].field == 'instance_id'
    assert problems[0].line == 10


def test_missing_file_is_reported(tmp_path):
    problems = load_settings(tmp_path / 'absent.yaml').unwrap_err()
    assert 'cannot read' in problems[0].message
