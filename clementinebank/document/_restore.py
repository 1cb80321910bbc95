"""Merge of a head record that was restored to an older state."""

import attrs

from clementinebank.document._head import (
    AcceptedChange,
    HeadRecord,
    Section,
    fit_head,
)


def merge_restored(restored: HeadRecord, in_force: HeadRecord) -> HeadRecord:
    """Merge a restored head record with the record in force.

    It is needed while ``restored.extends(in_force)`` is false. The record in
    force is kept. A section, or a deletion, that was accepted on top of the
    restored state is taken if it is newer than the same section of the record
    in force; its change is not in the history of that record. The clocks of
    the instances must agree to within the time that a restore takes.

    The caller validates the result as a document: two valid records can be
    invalid together.

    Parameters
    ----------
    restored : HeadRecord
        Record read from the key-value service after the restore.
    in_force : HeadRecord
        Record that this instance has in force.

    Returns
    -------
    HeadRecord
        Record to write back, with a revision above both.

    Raises
    ------
    HeadTooLargeError
        If the result does not fit into the key-value service.
    """
    revision = max(restored.revision, in_force.revision) + 1
    added = _added_changes(restored, in_force)
    if not added:
        return attrs.evolve(in_force, revision=revision)
    sections = dict(in_force.sections_by_name)
    names = {name for entry in added for name in entry.sections}
    for name in names:
        edit = restored.last_edit(name)
        kept = in_force.last_edit(name)
        if edit is None or (kept and edit.accepted_at <= kept.accepted_at):
            continue
        sections.pop(name, None)
        if isinstance(edit, Section):
            sections[name] = edit
    return fit_head(
        HeadRecord(
            revision,
            _raised_sections(sections, restored, in_force, revision),
            _merged_changes(added, restored, in_force, revision),
        )
    )


def _added_changes(
    restored: HeadRecord, in_force: HeadRecord
) -> tuple[AcceptedChange, ...]:
    known = {entry.change_id for entry in in_force.changes}
    # A change that is older than the history in force was trimmed from it.
    trimmed_until: float = 0
    if in_force.history_start and in_force.changes:
        trimmed_until = in_force.changes[0].accepted_at
    return tuple(
        entry
        for entry in restored.changes
        if entry.change_id not in known and entry.accepted_at > trimmed_until
    )


def _raised_sections(
    sections: dict[str, Section],
    restored: HeadRecord,
    in_force: HeadRecord,
    revision: int,
) -> dict[str, Section]:
    # A file shown from either record has a base revision that is meaningless
    # in the other one. Sections that differ get the new revision, so that
    # such a file conflicts and does not overwrite them.
    return {
        name: section
        if restored.sections_by_name.get(name)
        == in_force.sections_by_name.get(name)
        else attrs.evolve(section, revision=revision)
        for name, section in sections.items()
    }


def _merged_changes(
    added: tuple[AcceptedChange, ...],
    restored: HeadRecord,
    in_force: HeadRecord,
    revision: int,
) -> tuple[AcceptedChange, ...]:
    restored_ids = {entry.change_id for entry in restored.changes}
    shared_count = max(
        (
            index + 1
            for index, entry in enumerate(in_force.changes)
            if entry.change_id in restored_ids
        ),
        default=0,
    )
    raised = [
        attrs.evolve(entry, revision=revision)
        for entry in (*in_force.changes[shared_count:], *added)
    ]
    raised.sort(key=lambda entry: entry.accepted_at)
    return (*in_force.changes[:shared_count], *raised)
