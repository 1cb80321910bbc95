"""Merge after the key-value service was restored to an older head record."""

import attrs

from clementinebank.document._head import (
    AcceptedChange,
    HeadRecord,
    Section,
    trim_history,
)


def merge_restored(restored: HeadRecord, in_force: HeadRecord) -> HeadRecord:
    """Merge a restored head record with the record in force.

    A merge is needed while ``restored.extends(in_force)`` is false. The result
    is based on the record in force. A section is replaced, or deleted, as in
    the restored record if a change accepted after the restore named it later
    than any change of the record in force did. The accept times decide this,
    so the clocks of the instances must agree to within the time that a restore
    takes.

    The calling code must validate the result as a document, because two valid
    records can be invalid when merged.

    Parameters
    ----------
    restored : HeadRecord
        Record read from the key-value service after the restore. It may
        contain changes that were accepted after the restore.
    in_force : HeadRecord
        Record that this instance has in force.

    Returns
    -------
    HeadRecord
        Record to write back, with a revision above both.

    Raises
    ------
    HeadTooLargeError
        If the result exceeds the size limit of the key-value service.
    """
    revision = max(restored.revision, in_force.revision) + 1
    added_changes = _changes_after_restore(restored, in_force)
    if not added_changes:
        return attrs.evolve(in_force, revision=revision)
    sections = dict(in_force.sections_by_name)
    time_by_section = {
        name: entry.accepted_at
        for entry in added_changes
        for name in entry.sections
    }
    for name, time in time_by_section.items():
        if time <= in_force.last_named_at(name):
            continue
        sections.pop(name, None)
        if name in restored.sections_by_name:
            sections[name] = restored.sections_by_name[name]
    return trim_history(
        HeadRecord(
            revision,
            _sections_with_revisions(sections, restored, in_force, revision),
            _merged_changes(added_changes, restored, in_force, revision),
            in_force.history_start,
        )
    )


def _changes_after_restore(
    restored: HeadRecord, in_force: HeadRecord
) -> tuple[AcceptedChange, ...]:
    in_force_ids = {entry.change_id for entry in in_force.changes}
    # A change older than the first entry of a trimmed history was not added
    # after the restore: the record in force had it, too, but trimmed its entry.
    trimmed_until_time: float = 0
    if in_force.history_start and in_force.changes:
        trimmed_until_time = in_force.changes[0].accepted_at
    return tuple(
        entry
        for entry in restored.changes
        if entry.change_id not in in_force_ids
        and entry.accepted_at > trimmed_until_time
    )


def _sections_with_revisions(
    sections: dict[str, Section],
    restored: HeadRecord,
    in_force: HeadRecord,
    revision: int,
) -> dict[str, Section]:
    # The base revision of a file written from one of the records means nothing
    # in the other one. Sections that differ get the new revision, so that the
    # change of such a file conflicts and does not overwrite them.
    return {
        name: section
        if restored.sections_by_name.get(name)
        == in_force.sections_by_name.get(name)
        else attrs.evolve(section, revision=revision)
        for name, section in sections.items()
    }


def _merged_changes(
    added_changes: tuple[AcceptedChange, ...],
    restored: HeadRecord,
    in_force: HeadRecord,
    revision: int,
) -> tuple[AcceptedChange, ...]:
    restored_ids = {entry.change_id for entry in restored.changes}
    lost_changes = [
        entry
        for entry in in_force.changes
        if entry.change_id not in restored_ids
    ]
    # Entries from before the two histories diverged are kept. The others are
    # sorted by time, as the last entry that names a section must be the change
    # that decided its content.
    divergence_time = min(
        entry.accepted_at for entry in (*lost_changes, *added_changes)
    )
    kept_changes = [
        entry
        for entry in in_force.changes
        if entry.accepted_at < divergence_time
    ]
    renumbered_changes = [
        attrs.evolve(entry, revision=revision)
        for entry in (*added_changes, *in_force.changes[len(kept_changes) :])
    ]
    # The sort is stable, so at equal times the changes of the record in force
    # come last. This agrees with the sections: at equal times those of the
    # record in force are kept.
    renumbered_changes.sort(key=lambda entry: entry.accepted_at)
    return (*kept_changes, *renumbered_changes)
