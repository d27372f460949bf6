"""Documents that a control instance shows to operators."""

from types import SimpleNamespace

import anyio

from rhubarbhollow_daemon.control_handlers import ControlHandlers
from rhubarbhollow_daemon.http_request import HttpRequest
from rhubarbhollow_daemon.http_response import HttpResponse
from rhubarbhollow_release.manifest import Manifest
from rhubarbhollow_release.resource_set import split_manifest
from rhubarbhollow_release.tenant_entry import TenantEntry

SECRET = "sekret-d41d8"


def show(*tenants):
    resources = split_manifest(Manifest(1, "lab", 3, tenants=tenants))
    ledger = SimpleNamespace(resources_at={4: resources}.get)
    parts = SimpleNamespace(machine=SimpleNamespace(ledger=ledger))
    handlers = ControlHandlers(None, parts, None, None, None)
    request = HttpRequest("GET", "/v1/releases/4/manifest", "", b"")
    return anyio.run(handlers.show_manifest, request, {"position": "4"})


def test_a_manifest_whose_annotations_may_hold_keys_is_not_shown():
    """Guard against keys on the admin port, which serves anyone."""
    answer = show(TenantEntry("a", annotation=f'{{"ApiKeys":["{SECRET}"]}}'))
    assert answer.status == 403
    assert SECRET.encode() not in answer.body


def test_a_manifest_with_digests_alone_is_shown():
    """Guard against meshes with tenants that cannot withdraw."""
    answer = show(TenantEntry("a", ("0" * 64,)))
    assert answer.status == 200
    assert b'"tenants":[{"key_digests":' in answer.body


def test_documents_of_operators_are_not_printed():
    """Guard against keys in tracebacks: documents hold them."""
    assert SECRET not in repr(HttpRequest("PUT", "/", "", SECRET.encode()))
    assert SECRET not in repr(HttpResponse(200, SECRET.encode()))
