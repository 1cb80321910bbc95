"""Contents of the messages between instances."""

import attrs

from clementinebank.document import AcceptedChange, Section
from clementinebank.membership import Member, MemberReport


@attrs.frozen
class DocumentDelta:
    """Difference between two revisions of the document.

    Parameters
    ----------
    base_revision : int
        Revision to which the delta applies; 0 if it is a whole document.
    revision : int
        Revision after the delta was applied.
    sections_by_name : dict of str to Section
        Sections that were added or changed after the base revision.
    section_names : tuple of str
        Names of all sections of the resulting document; a receiver deletes
        the others.
    digest : bytes
        Digest of the resulting document.
    changes : tuple of AcceptedChange
        Changes that were accepted after the base revision.
    """

    base_revision: int
    revision: int
    sections_by_name: dict[str, Section]
    section_names: tuple[str, ...]
    digest: bytes
    changes: tuple[AcceptedChange, ...] = ()


@attrs.frozen
class SyncMessage:
    """Request or reply of ``clementinebank.Peer/Sync``.

    Parameters
    ----------
    sender : Member
        The sending instance.
    revision : int
        Revision in force at the sender; 0 if it has no document.
    digest : bytes
        Digest of the document in force at the sender.
    head_age_s : float or None
        Seconds since the sender or one of its peers read the head; ``None``
        if no reading counts.
    view_digest : bytes
        Digest of the sender's view of the fleet.
    members : tuple of MemberReport
        Reports of a bounded number of other instances.
    delta : DocumentDelta or None
        Sections that the receiver lacks.
    section_digests : dict of str to bytes
        Digests of the sender's sections, sent when a delta did not fit.
    """

    sender: Member
    revision: int
    digest: bytes
    head_age_s: float | None = None
    view_digest: bytes = b''
    members: tuple[MemberReport, ...] = ()
    delta: DocumentDelta | None = None
    section_digests: dict[str, bytes] = attrs.Factory(dict)
