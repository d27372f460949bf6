"""Tenants of a configuration document."""

import json
from hashlib import sha256

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from rhubarbhollow_platform.configuration_format import ConfigurationFormat
from rhubarbhollow_platform.configuration_rendering import (
    render_configuration,
)
from rhubarbhollow_platform.tenant_reading import join_gaps, split_gaps
from rhubarbhollow_release.difference import diff_resources
from rhubarbhollow_release.difference_codec import encode_difference
from rhubarbhollow_release.note import Note
from rhubarbhollow_release.resource import resource_of
from rhubarbhollow_release.resource_kind import ResourceKind
from rhubarbhollow_release.resource_set import ResourceSet, join_resources

SECRET = "sekret-d41d8"
ARCHIVE = {
    "Name": "archive-7",
    "ApiKeys": [SECRET, "second-key"],
    "Priority": 1,
    "RatePerS": 224,
    "Burst": 224.5,
    "Contact": {"b": [1]},
}


def document(tenants, **rule):
    route = {
        "Name": "r",
        "Match": {"PathPrefix": "/a/"},
        "Action": {"Service": "desk"},
        **rule,
    }
    return (
        '{"Version":"0000000c","Listeners":[{"Host":"shop.example",'
        f'"RuleTables":[{json.dumps(route, separators=(",", ":"))}]}}],'
        f'"Tenants":{tenants},"Clusters":[{{"Name":"desk"}}]}}'
    ).encode()


def dump(*tenants):
    return json.dumps(tenants)


def read(tenants, **rule):
    return ConfigurationFormat("mesh").read(document(tenants, **rule))


def manifest_of(tenants, **rule):
    return join_resources(read(tenants, **rule).ok_value).ok_value


def test_a_tenant_becomes_a_resource_with_digests():
    (tenant,) = manifest_of(dump(ARCHIVE)).tenants
    assert (tenant.name, tenant.title) == ("archive-7", "")
    assert (tenant.priority, tenant.rate, tenant.burst) == (1, 224.0, 224.5)
    assert sorted(tenant.key_digests) == sorted(
        sha256(key.encode()).hexdigest() for key in ARCHIVE["ApiKeys"]
    )


def test_a_tenant_may_have_any_name_that_a_header_field_can_hold():
    """Guard against documents refused for the name of a tenant."""
    names = ["Sạch Lọc", "A_1", "b.example"]
    tenants = manifest_of(dump(*({"Name": name} for name in names))).tenants
    assert {tenant.display_name for tenant in tenants} == set(names)


def test_public_access_of_a_rule():
    assert manifest_of("[]", PublicAccess=True).routes[0].is_public
    assert not manifest_of("[]").routes[0].is_public


@pytest.mark.parametrize(
    "tenants",
    [
        "null",
        "{}",
        '"x"',
        f'["{SECRET}"]',
        f'[{{"ApiKeys":["{SECRET}"]}}]',
        f'[{{"Name":7,"ApiKeys":["{SECRET}"]}}]',
        f'[{{"Name":"a;b","ApiKeys":["{SECRET}"]}}]',
        f'[{{"Name":"a","ApiKeys":"{SECRET}"}}]',
        f'[{{"Name":"a","ApiKeys":["{SECRET}",7]}}]',
        f'[{{"Name":"a","ApiKeys":["{SECRET}",""]}}]',
        f'[{{"Name":"a","ApiKeys":["{SECRET}"],"Priority":"{SECRET}"}}]',
        f'[{{"Name":"a","ApiKeys":["{SECRET}"],"RatePerS":-1}}]',
        f'[{{"Name":"a","ApiKeys":["{SECRET}"],"Burst":"{SECRET}"}}]',
        f'[{{"Name":"a","ApiKeys":["{SECRET}"]}},{{"Name":"a"}}]',
        json.dumps(
            [
                {"Name": "a", "ApiKeys": [SECRET]},
                {"Name": "b", "ApiKeys": ["other", SECRET]},
            ]
        ),
        f'[{{"Name":"a","ApiKeys":["{SECRET}\\ud800"]}}]',
    ],
)
def test_unreadable_tenants_make_a_document_invalid(tenants):
    """Guard against a mesh that is open because of a typing error.

    The refusal is logged and shown, so it must not contain a key.
    """
    result = read(tenants)
    assert isinstance(result, Err)
    assert SECRET not in repr(result.err_value)
    digest = sha256(SECRET.encode()).hexdigest()
    assert digest[:16] not in repr(result.err_value)


@pytest.mark.parametrize(
    "layout",
    [
        "[]",
        " [ ] ",
        "[%s]",
        "[%s,%s]",
        "[ %s , %s ]",
        "[\n  %s,\n  %s,\n  %s\n]",
        "[%s, %s,\n%s]",
    ],
)
def test_a_document_with_tenants_is_rendered_as_submitted(layout):
    """Guard against white space, members and keys that change."""
    count = layout.count("%s")
    sources = [
        json.dumps({**ARCHIVE, "Name": f"t-{n}", "ApiKeys": [f"k-{n}"]})
        for n in range(count)
    ]
    submitted = document((layout % tuple(reversed(sources))).strip())
    form = ConfigurationFormat("mesh")
    resources = form.read(submitted).ok_value
    assert form.render(resources) == submitted
    assert isinstance(join_resources(resources), Ok)


def test_an_empty_list_of_tenants_is_not_a_missing_one():
    """Guard against keys taken away that open the mesh to everyone."""
    form = ConfigurationFormat("mesh")
    submitted = document("[]")
    missing = submitted.replace(b'"Tenants":[],', b"")
    for data, requires_keys in (
        (submitted, True),
        (missing, False),
        (document(dump(ARCHIVE)), True),
        (document("[\n]"), True),
        (missing, False),
    ):
        resources = form.read(data).ok_value
        manifest = join_resources(resources).ok_value
        assert manifest.requires_keys is requires_keys
        assert form.render(resources) == data
    assert form.read(submitted) != form.read(missing)


@given(
    st.lists(st.sampled_from([b"1", b"{}", b"12"]), max_size=5),
    st.lists(st.sampled_from(["", " ", "\n\t"]), min_size=12, max_size=12),
)
def test_gaps_of_a_list(elements, spaces):
    """Guard against a list that is rendered with other white space."""
    gaps = [f"{spaces[2 * n]},{spaces[2 * n + 1]}" for n in range(5)]
    text = "[" + spaces[10]
    for index, element in enumerate(elements):
        text += (gaps[index] if index else "") + element.decode()
    text += spaces[11] + "]"
    found = split_gaps(text.encode(), elements)
    assert join_gaps(found, [e.decode() for e in elements]) == text


def test_the_text_of_an_earlier_version_is_rendered():
    """Guard against a release of before tenants that cannot be read."""
    form = ConfigurationFormat("mesh")
    resources = form.read(document("[]")).ok_value
    frame = next(r for r in resources.resources if r.name == "frame")
    text = json.loads(frame.item.ok_value.text)
    changed = [
        [key, "[ 1 ]" if key == "Tenants" else value] for key, value in text
    ]
    note = resource_of(Note("frame", json.dumps(changed)))
    old = ResourceSet(
        resources.header,
        tuple(note if r is frame else r for r in resources.resources),
    )
    assert b'"Tenants":[ 1 ]' in render_configuration(old)


def test_a_changed_tenant_costs_its_own_bytes():
    """Guard against changes that transfer every tenant."""
    tenants = [
        {**ARCHIVE, "Name": f"t-{n}", "ApiKeys": [f"k-{n}", f"l-{n}"]}
        for n in range(85)
    ]
    form = ConfigurationFormat("mesh")
    before = form.read(document(dump(*tenants))).ok_value
    tenants[40] = {**tenants[40], "ApiKeys": ["k-40", "new"]}
    after = form.read(document(dump(*tenants))).ok_value
    difference = diff_resources(before, after)
    assert [resource.key for resource in difference.upserts] == [
        (ResourceKind.TENANT, "t-40")
    ]
    assert len(encode_difference(difference)) < 500


def test_no_key_is_printed():
    """Guard against keys in logs: tracebacks print such values."""
    resources = read(dump(ARCHIVE)).ok_value
    manifest = join_resources(resources).ok_value
    difference = diff_resources(None, resources)
    for value in (resources, manifest, difference):
        assert SECRET not in repr(value)
        assert sha256(SECRET.encode()).hexdigest() not in repr(value)


EDITS = st.lists(
    st.tuples(
        st.integers(0, 10_000),
        st.integers(0, 3),
        st.sampled_from(
            [b"", b'"', b"}", b"[", b",", b"\\", b"\xff", b"0", b"null"]
        ),
    ),
    min_size=1,
    max_size=3,
)


@given(EDITS)
def test_a_damaged_document_shows_no_key(edits):
    """Guard against parsers that quote what they can't read.

    What is accepted all the same has the digests of its own keys.
    """
    data = document(dump(ARCHIVE, {"Name": "b", "ApiKeys": [SECRET + "b"]}))
    for offset, size, text in edits:
        at = offset % len(data)
        data = data[:at] + text + data[at + size :]
    form = ConfigurationFormat("mesh")
    outcome = form.read(data)
    if isinstance(outcome, Err):
        assert "sekret" not in repr(outcome.err_value)
        return
    assert isinstance(join_resources(outcome.ok_value), Ok)
    again = form.read(form.render(outcome.ok_value)).ok_value
    assert again.digest == outcome.ok_value.digest
