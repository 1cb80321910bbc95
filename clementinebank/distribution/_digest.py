"""Digests with which instances compare sections and whole documents."""

import hashlib

import attrs

from clementinebank.document import HeadRecord, Section

SECTION_DIGEST_BYTES = 8
DOCUMENT_DIGEST_BYTES = 16


def section_digest(section: Section) -> bytes:
    """Return the digest of the text and the metadata of one section."""
    parts = attrs.astuple(section)
    return hashlib.blake2b(
        repr(parts).encode(), digest_size=SECTION_DIGEST_BYTES
    ).digest()


def section_digests(head: HeadRecord) -> dict[str, bytes]:
    """Return the digests of all sections of a head record by name."""
    return {
        name: section_digest(section)
        for name, section in head.sections_by_name.items()
    }


def document_digest(revision: int, digests: dict[str, bytes]) -> bytes:
    """Return the digest of a revision and the digests of its sections."""
    rows = (revision, sorted(digests.items()))
    return hashlib.blake2b(
        repr(rows).encode(), digest_size=DOCUMENT_DIGEST_BYTES
    ).digest()
