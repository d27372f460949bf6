"""Parsing and validation of manifests submitted by operators."""

from __future__ import annotations

from collections import Counter
from itertools import chain
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from rhubarbhollow_release.assembly import assemble_manifest
from rhubarbhollow_release.canonical import SECTIONS, canonical_bytes
from rhubarbhollow_release.closure import Closure, PlacedItem
from rhubarbhollow_release.codec import read_item
from rhubarbhollow_release.manifest_fault import (
    ManifestFault,
    ManifestFaults,
    is_truncated,
    limit_faults,
)
from rhubarbhollow_release.manifest_header import ManifestHeader
from rhubarbhollow_release.schema import find_schema_faults

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from rhubarbhollow_release.manifest import Manifest
    from rhubarbhollow_release.resource_kind import ResourceKind

# The canonical form adds the fields that a document omits, which makes
# it at most eight times as long.  That of a document up to this size is
# therefore within every limit of ``load_document``.
SMALL_DOCUMENT_BYTES: Final = 256 << 10


def parse_manifest(document: bytes) -> Result[Manifest, ManifestFaults]:
    """Parse a YAML or JSON manifest, or return all of its faults.

    Schema faults do not hide reference faults: the references among the
    well-formed resources are checked as well.
    """
    # Imported late: the YAML library is loaded with the first manifest.
    from rhubarbhollow_release.document import (  # noqa: PLC0415
        load_document,
    )

    loaded = load_document(document)
    if isinstance(loaded, Err):
        return loaded
    value = loaded.ok_value
    faults = find_schema_faults(value)
    if not isinstance(value, dict) or not _has_sections(value):
        return Err(ManifestFaults(faults))
    if is_truncated(faults):
        # It is not known which resources are well-formed.
        return Err(ManifestFaults(faults))
    closure = _closure_of(value, faults)
    faults = limit_faults(chain(faults, closure.find_faults()))
    if faults:
        return Err(ManifestFaults(faults))
    header = ManifestHeader(
        value["format"],
        value["mesh"],
        value["version"],
        has_empty_tenants=value.get("tenants") == [],
    )
    items = (placed.item for placed in closure.placed)
    manifest = assemble_manifest(header, items)
    if len(document) <= SMALL_DOCUMENT_BYTES:
        return Ok(manifest)
    # Operators fetch the canonical form and submit it again, so it must
    # load within the limits as well.
    canonical = load_document(canonical_bytes(manifest))
    return canonical if isinstance(canonical, Err) else Ok(manifest)


def _has_sections(value: Mapping[str, Any]) -> bool:
    return all(
        isinstance(value.get(section, []), list)
        for section in SECTIONS.values()
    )


def _closure_of(
    value: Mapping[str, Any],
    faults: Collection[ManifestFault],
) -> Closure:
    faulty_paths = {_item_path_of(fault) for fault in faults}
    placed: list[PlacedItem] = []
    malformed: dict[ResourceKind, Counter[str]] = {}
    for kind, section in SECTIONS.items():
        names = malformed.setdefault(kind, Counter())
        for path, entry in _entries_of(section, value):
            if path not in faulty_paths:
                placed.append(PlacedItem(path, read_item(kind, entry)))
            elif isinstance(entry, dict):
                names[str(entry.get("name"))] += 1
    return Closure(placed, malformed)


def _entries_of(
    section: str,
    value: Mapping[str, Any],
) -> Iterator[tuple[str, Any]]:
    for index, entry in enumerate(value.get(section, ())):
        yield f"/{section}/{index}", entry


def _item_path_of(fault: ManifestFault) -> str:
    """Return the path of the section entry that contains a fault."""
    return "/".join(fault.path.split("/")[:3])
