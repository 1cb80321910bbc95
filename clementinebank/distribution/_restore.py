"""Recovery of a key-value service that returns an older head."""

import attrs

from clementinebank.document import HeadRecord


def merge_restored(active: HeadRecord, restored: HeadRecord) -> HeadRecord:
    """Return the record to write over a restored older head.

    Sections accepted on top of the restored state are those whose change the
    record in force does not know and whose section revision is the highest
    of the restored record's changes.

    Parameters
    ----------
    active : HeadRecord
        Record in force.
    restored : HeadRecord
        Record that the service returned, at the same or a lower revision.

    Returns
    -------
    HeadRecord
        The record in force if nothing was accepted on top of the restored
        state, else the union at a revision above both.
    """
    known_floor = max(
        (
            section.revision
            for name, section in restored.sections_by_name.items()
            if active.sections_by_name.get(name) == section
        ),
        default=0,
    )
    known_changes = {
        section.change_id for section in active.sections_by_name.values()
    }
    revision = max(active.revision, restored.revision) + 1
    added = {
        name: attrs.evolve(section, revision=revision)
        for name, section in restored.sections_by_name.items()
        if section.change_id not in known_changes
        and section.revision > known_floor
        and _is_newer(active, name, section.revision)
    }
    if not added:
        return active
    return attrs.evolve(
        active,
        revision=revision,
        sections_by_name={**active.sections_by_name, **added},
    )


def _is_newer(active: HeadRecord, name: str, revision: int) -> bool:
    # Without accept times, a section counts as added only if the record in
    # force lacks it or holds an older section revision.
    known = active.sections_by_name.get(name)
    return known is None or known.revision < revision
