"""Normalization of request paths for route matching.

A path that an upstream may interpret differently from this node could
reach, for example, a non-idempotent resource under the route of an
idempotent one. So percent-encoded unreserved characters are decoded
(RFC 3986, section 6.2.2.2), and a path that is still ambiguous matches
no route. A path is ambiguous if it contains encoded slashes or
backslashes, plain backslashes, encoded percent signs or control
characters, empty segments, or dot segments.
"""

from __future__ import annotations

import re
from typing import Final

_NEEDS_CHECK: Final = re.compile(rb"[%\\]|//|/\.\.?(?:/|$)")
_ESCAPE: Final = re.compile(rb"%(..?)?", re.DOTALL)
_HEX_PAIR: Final = re.compile(rb"[0-9A-Fa-f]{2}")
_AMBIGUOUS: Final = re.compile(
    rb"//|\\|/\.\.?(?:/|$)|%(?:2F|5C|25|[01][0-9A-F]|7F)"
)
_UNRESERVED: Final = frozenset(
    b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"
)


def normalize_path(target: bytes) -> bytes | None:
    """Return the normalized path of a request target.

    Return ``None`` if the target is not in origin form or its path is
    ambiguous.
    """
    path = target.partition(b"?")[0]
    if not path.startswith(b"/"):
        return None
    if _NEEDS_CHECK.search(path) is None:
        return path
    return _decode_path(path)


def _decode_path(path: bytes) -> bytes | None:
    for escape in _ESCAPE.finditer(path):
        if _HEX_PAIR.fullmatch(escape.group(1) or b"") is None:
            return None
    decoded = _ESCAPE.sub(_decode_unreserved, path)
    if _AMBIGUOUS.search(decoded) is not None:
        return None
    return decoded


def _decode_unreserved(escape: re.Match[bytes]) -> bytes:
    value = int(escape.group(1), 16)
    if value in _UNRESERVED:
        return bytes((value,))
    return escape.group(0).upper()
