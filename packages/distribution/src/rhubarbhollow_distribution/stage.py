"""The message that transfers a release to a node."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Stage:
    """Carry a release as a net difference from a base release.

    ``base_digest`` is empty or ``EMPTY_DIGEST`` if ``difference`` holds
    the whole release.  ``digest`` identifies the content after the
    difference is applied; the approval signs it together with the mesh
    and ``version``.  See ``stage_encoding`` for the encoding of
    ``approval_document`` and ``difference``.
    """

    position: int
    version: int
    base_digest: bytes
    digest: bytes
    approval_document: bytes
    difference: bytes = field(repr=False)
