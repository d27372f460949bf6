"""The message that brings a release to a node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Stage:
    """Carry one net difference that leads to a whole release.

    ``base_digest`` is empty or ``EMPTY_DIGEST`` when ``difference``
    holds the whole release.  ``digest`` names the content after the
    difference, and the approval signs it with mesh and ``version``.
    See ``stage_encoding`` for the two fields of encoded bytes.
    """

    position: int
    version: int
    base_digest: bytes
    digest: bytes
    approval_document: bytes
    difference: bytes
