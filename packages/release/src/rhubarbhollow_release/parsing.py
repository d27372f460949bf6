"""Parsing of the manifests that operators submit."""

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

# fields that were left out make the canonical form of a document at
# most eight times as long: below this, it keeps to every bound
SMALL_DOCUMENT_BYTES: Final = 256 << 10


def parse_manifest(document: bytes) -> Result[Manifest, ManifestFaults]:
    """Read a YAML or JSON manifest; refuse it whole, with every fault.

    Faults of shape do not hide faults of reference: the closure of the
    well-formed resources is checked as well.
    """
    # the YAML library is loaded by the first manifest
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
        # which resources are well-formed is not known
        return Err(ManifestFaults(faults))
    closure = _closure_of(value, faults)
    faults = limit_faults(chain(faults, closure.find_faults()))
    if faults:
        return Err(ManifestFaults(faults))
    header = ManifestHeader(value["format"], value["mesh"], value["version"])
    items = (placed.item for placed in closure.placed)
    manifest = assemble_manifest(header, items)
    if len(document) <= SMALL_DOCUMENT_BYTES:
        return Ok(manifest)
    # operators fetch the canonical form and submit it again
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
    bad = {_item_path_of(fault) for fault in faults}
    placed: list[PlacedItem] = []
    malformed: dict[ResourceKind, Counter[str]] = {}
    for kind, section in SECTIONS.items():
        names = malformed.setdefault(kind, Counter())
        for path, entry in _entries_of(section, value):
            if path not in bad:
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
    """Return the path of the section's entry that a fault is in."""
    return "/".join(fault.path.split("/")[:3])
