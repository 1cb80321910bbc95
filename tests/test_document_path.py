"""Guards against a change that is accepted but not in effect everywhere.

An edited document file must be in effect on every instance when the
command-line tool confirms it, and a file that is outdated must not overwrite
a newer change.
"""

from clementinebank.cli import main
from tests.harness import wait_until


def _run_document_command(fleet, *arguments):
    operators = [
        word
        for ports in fleet.instances
        for word in ('--operators', f'127.0.0.1:{ports.operators}')
    ]
    return main(['document', *map(str, arguments), *operators])


def test_edited_file_is_in_effect_on_every_instance(fleet, tmp_path, capsys):
    path = tmp_path / 'shown.yaml'
    assert wait_until(
        lambda: (
            _run_document_command(
                fleet, 'show', '--output', path, '--overwrite'
            )
            == 0
            and 'service.pickup-desk' in path.read_text()
        )
    )
    text = path.read_text()
    assert 'deadline_ms: 110' in text
    path.write_text(text.replace('deadline_ms: 110', 'deadline_ms: 120'))
    status = _run_document_command(
        fleet, 'apply', path, '--editor', 'ana', '--wait', 30
    )
    printed = capsys.readouterr().out
    assert status == 0, printed
    assert 'confirmed by 2 instances' in printed
    # The file is based on an outdated revision now. Its text is already in
    # effect and is accepted again; another text is refused as a conflict.
    assert _run_document_command(fleet, 'apply', path, '--editor', 'bo') == 0
    path.write_text(text.replace('deadline_ms: 110', 'deadline_ms: 130'))
    assert _run_document_command(fleet, 'apply', path, '--editor', 'bo') == 3
