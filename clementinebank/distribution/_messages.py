"""Messages between instances as typed values."""

import attrs

from clementinebank.document import AcceptedChange, Section
from clementinebank.membership import Member, MemberReport


@attrs.frozen
class DocumentDelta:
    """Sections that lead from one revision to another.

    Parameters
    ----------
    base_revision : int
        Revision to which the delta applies; 0 for a whole document.
    revision : int
        Revision that results.
    sections_by_name : dict of str to Section
        Changed sections.
    section_names : tuple of str
        Names of all sections of the result; others are deleted.
    digest : bytes
        Digest of the result.
    changes : tuple of AcceptedChange
        Entries of the change history after the base revision.
    """

    base_revision: int
    revision: int
    sections_by_name: dict[str, Section]
    section_names: tuple[str, ...]
    digest: bytes
    changes: tuple[AcceptedChange, ...] = ()


@attrs.frozen
class SyncMessage:
    """Request and reply of ``clementinebank.Peer/Sync``.

    Parameters
    ----------
    sender : Member
        The sending instance.
    revision : int
        Revision in force at the sender, 0 for none.
    digest : bytes
        Digest of the document in force at the sender.
    head_age_s : float or None
        Seconds since the head was read by the sender or a peer of it.
    view_digest : bytes
        Digest of the sender's view of the fleet.
    members : tuple of MemberReport
        Bounded news of other instances.
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
