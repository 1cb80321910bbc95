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
    force is kept. A section, or its absence, is taken from the restored record
    if a change that was accepted on top of the restored state, which is not in
    the history of the record in force, named the section later than any change
    of that record did. The clocks of the instances must agree to within the
    time that a restore takes.

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
    times = {
        name: entry.accepted_at for entry in added for name in entry.sections
    }
    for name, time in times.items():
        if time <= in_force.named_at(name):
            continue
        sections.pop(name, None)
        if name in restored.sections_by_name:
            sections[name] = restored.sections_by_name[name]
    return fit_head(
        HeadRecord(
            revision,
            _raised_sections(sections, restored, in_force, revision),
            _merged_changes(added, restored, in_force, revision),
            in_force.history_start,
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
    lost = [
        entry
        for entry in in_force.changes
        if entry.change_id not in restored_ids
    ]
    # The part before the lines differ is kept. The rest is ordered by time,
    # as the newest entry that names a section states what became of it.
    start = min(entry.accepted_at for entry in (*lost, *added))
    kept = [entry for entry in in_force.changes if entry.accepted_at < start]
    raised = [
        attrs.evolve(entry, revision=revision)
        for entry in (*added, *in_force.changes[len(kept) :])
    ]
    # The sort is stable: at equal times the record in force comes last, as
    # its sections are kept.
    raised.sort(key=lambda entry: entry.accepted_at)
    return (*kept, *raised)
