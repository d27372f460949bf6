"""The rule that turns a request target into a path to match.

A path that an upstream may read differently from this node could
reach, for example, a non-idempotent resource under the route of an
idempotent one. So percent-encoded unreserved characters are decoded
(RFC 3986, 6.2.2.2), and what stays ambiguous matches no route at all:
encoded slashes and backslashes, plain backslashes, encoded percent
signs and control characters, empty segments, and dot segments.
"""

from __future__ import annotations

import re
from typing import Final

_SUSPECT: Final = re.compile(rb"[%\\]|//|/\.\.?(?:/|$)")
_ESCAPE: Final = re.compile(rb"%(..?)?", re.DOTALL)
_HEX_PAIR: Final = re.compile(rb"[0-9A-Fa-f]{2}")
_AMBIGUOUS: Final = re.compile(
    rb"//|\\|/\.\.?(?:/|$)|%(?:2F|5C|25|[01][0-9A-F]|7F)"
)
_UNRESERVED: Final = frozenset(
    b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"
)


def maybe_plain_path(target: bytes) -> bytes | None:
    """Return the path of an origin-form target, or nothing.

    Nothing is returned for another form of target and for a path that
    breaks the rule of this module.
    """
    path = target.partition(b"?")[0]
    if not path.startswith(b"/"):
        return None
    if _SUSPECT.search(path) is None:
        return path
    return _maybe_decoded(path)


def _maybe_decoded(path: bytes) -> bytes | None:
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
