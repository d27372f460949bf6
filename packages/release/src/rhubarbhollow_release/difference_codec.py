"""Binary encoding of differences, on the wire and in the log.

The base and target digests come first, uncompressed.  They are followed
by a raw deflate stream with a preset dictionary, which holds a line of
JSON (the preamble) and the concatenated bodies of the upserts.
"""

from __future__ import annotations

import json
import zlib
from itertools import pairwise
from typing import Any, Final

from result import Err, Ok, Result

from rhubarbhollow_release import field_checks as checks
from rhubarbhollow_release.canonical import DIGEST_BYTES
from rhubarbhollow_release.codec import encode_json
from rhubarbhollow_release.difference import Difference
from rhubarbhollow_release.difference_fault import (
    DifferenceFault,
    DifferenceFaultKind,
)
from rhubarbhollow_release.manifest_header import ManifestHeader
from rhubarbhollow_release.resource import Resource
from rhubarbhollow_release.resource_key import ResourceKey
from rhubarbhollow_release.resource_kind import ResourceKind

MAX_ENCODED_BYTES: Final = 8 << 20
MAX_DECODED_BYTES: Final = 32 << 20

_COMPRESSION_LEVEL: Final = 9
# A negative value selects raw deflate, without header and checksum.
_RAW_WINDOW_BITS: Final = -15
# The most frequent strings stand last, since back-references to the end
# of a preset dictionary are the shortest.
_DICTIONARY: Final = (
    b'"attempts":3,"budget_ratio":0.1,"name":"'
    b'{"depends_on":[],"fallback":null,"name":"","objectives":'
    b'{"availability":0.999,"latency_ms":100,"latency_ratio":0.99}}null}'
    b'{"header":[1,"mesh",1],"removed":[["retry_policy",["route","'
    b'"upserts":[["service","["route","",2]]}\n'
    b'{"host":"*","idempotent":true,"name":"","prefix":"/'
    b'","priority":"bulk","retry_policy":null,"service":"'
    b'","priority":"interactive","retry_policy":"","service":"'
    b'{"host":"*","idempotent":false,"name":"","timeout_ms":1000}'
)


def encode_difference(difference: Difference) -> bytes:
    """Encode and compress a difference."""
    header = difference.header
    fields: list[object] = [header.format, header.mesh, header.version]
    if header.has_empty_tenants:
        # Left out otherwise, as in the encodings of earlier versions.
        fields.append(True)
    preamble = {
        "header": fields,
        "removed": [[key.kind, key.name] for key in difference.removed],
        "upserts": [
            [resource.kind, resource.name, len(resource.body)]
            for resource in difference.upserts
        ],
    }
    bodies = (resource.body for resource in difference.upserts)
    plain = b"".join((encode_json(preamble), b"\n", *bodies))
    compressor = zlib.compressobj(
        _COMPRESSION_LEVEL,
        zlib.DEFLATED,
        _RAW_WINDOW_BITS,
        zdict=_DICTIONARY,
    )
    packed = compressor.compress(plain) + compressor.flush()
    return difference.base_digest + difference.target_digest + packed


def decode_difference(data: bytes) -> Result[Difference, DifferenceFault]:
    """Decode a difference, rejecting what no difference encodes to."""
    if len(data) > MAX_ENCODED_BYTES:
        return _fault(DifferenceFaultKind.TOO_LARGE, f"{len(data)} bytes")
    if len(data) < 2 * DIGEST_BYTES:
        return _malformed("shorter than two digests")
    plain = _decompress(data[2 * DIGEST_BYTES :])
    if isinstance(plain, Err):
        return plain
    line, _, bodies = plain.ok_value.partition(b"\n")
    try:
        preamble = json.loads(line)
    except (ValueError, RecursionError):
        return _malformed("preamble is not valid JSON")
    if not _is_preamble(preamble):
        return _malformed("preamble has unexpected fields or types")
    if sum(size for _, _, size in preamble["upserts"]) != len(bodies):
        return _malformed("bodies do not have the announced length")
    return _build(data, preamble, bodies)


def _decompress(packed: bytes) -> Result[bytes, DifferenceFault]:
    decompressor = zlib.decompressobj(_RAW_WINDOW_BITS, zdict=_DICTIONARY)
    try:
        plain = decompressor.decompress(packed, MAX_DECODED_BYTES)
    except zlib.error:
        return _malformed("not a valid deflate stream")
    if len(plain) == MAX_DECODED_BYTES and not decompressor.eof:
        return _fault(
            DifferenceFaultKind.TOO_LARGE, "decompressed data is too large"
        )
    if not decompressor.eof or decompressor.unused_data:
        return _malformed("deflate stream is truncated or has trailing data")
    return Ok(plain)


def _build(
    data: bytes,
    preamble: dict[str, Any],
    bodies: bytes,
) -> Result[Difference, DifferenceFault]:
    removed = tuple(
        ResourceKey(ResourceKind(kind), name)
        for kind, name in preamble["removed"]
    )
    upserts = []
    offset = 0
    for kind, name, size in preamble["upserts"]:
        body = bodies[offset : offset + size]
        upserts.append(Resource(ResourceKind(kind), name, body))
        offset += size
    upserted = tuple(resource.key for resource in upserts)
    if not _is_ascending(removed) or not _is_ascending(upserted):
        return _malformed("keys are not in ascending order")
    if not set(removed).isdisjoint(upserted):
        return _malformed("a key is both removed and upserted")
    return Ok(
        Difference(
            base_digest=data[:DIGEST_BYTES],
            target_digest=data[DIGEST_BYTES : 2 * DIGEST_BYTES],
            header=ManifestHeader(*preamble["header"]),
            removed=removed,
            upserts=tuple(upserts),
        ),
    )


def _is_preamble(value: object) -> bool:
    return (
        isinstance(value, dict)
        and value.keys() == {"header", "removed", "upserts"}
        and _is_header(value["header"])
        and _is_rows(value["removed"], 2)
        and _is_rows(value["upserts"], 3)
        and all(_is_count(row[2]) for row in value["upserts"])
    )


def _is_header(value: object) -> bool:
    match value:
        case [format_, mesh, version, *flags]:
            return (
                _is_count(format_)
                and checks.is_name(mesh)
                and checks.is_version(version)
                and (not flags or (len(flags) == 1 and flags[0] is True))
            )
    return False


def _is_rows(value: object, width: int) -> bool:
    return isinstance(value, list) and all(
        isinstance(row, list)
        and len(row) == width
        and isinstance(row[0], str)
        and row[0] in set(ResourceKind)
        and checks.is_name(row[1])
        for row in value
    )


def _is_count(value: object) -> bool:
    return type(value) is int and value >= 0


def _is_ascending(keys: tuple[ResourceKey, ...]) -> bool:
    return all(left < right for left, right in pairwise(keys))


def _malformed(detail: str) -> Err[DifferenceFault]:
    return _fault(DifferenceFaultKind.MALFORMED, detail)


def _fault(kind: DifferenceFaultKind, detail: str) -> Err[DifferenceFault]:
    return Err(DifferenceFault(kind, detail))
