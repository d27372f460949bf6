"""Commands that change a tenant's keys in a manifest file."""

import json
import stat
from hashlib import sha256

import pytest
import yaml
from click.testing import CliRunner

from rhubarbhollow_cli.main import cli
from rhubarbhollow_release.parsing import parse_manifest

OLD, NEW, OTHER = "sekret-old", "sekret-new", "sekret-other"


def digest(key):
    return sha256(key.encode()).hexdigest()


@pytest.fixture(params=["json", "yaml"])
def manifest(tmp_path, fakes, request):
    path = tmp_path / "manifest"
    tenants = [
        {"name": "archive", "key_digests": [digest(OLD)]},
        {"name": "other", "key_digests": [digest(OTHER)]},
    ]
    document = {**fakes["document"], "tenants": tenants}
    dump = json.dumps if request.param == "json" else yaml.safe_dump
    path.write_text(dump(document))
    return path


def invoke(path, command, *options, key="", name="archive"):
    arguments = ["tenant", command, str(path), name, *map(str, options)]
    result = CliRunner().invoke(cli, arguments, input=key)
    for secret in (OLD, NEW, OTHER):
        assert secret not in result.output
    return result


def keys_of(path, name="archive"):
    manifest = parse_manifest(path.read_bytes()).ok_value
    return {
        key
        for tenant in manifest.tenants
        if tenant.name == name
        for key in (OLD, NEW, OTHER)
        if digest(key) in tenant.key_digests
    }


@pytest.mark.parametrize("end", ["", "\n", "\r\n"])
def test_a_rotation_keeps_two_keys_until_the_old_one_is_removed(manifest, end):
    """Guard against callers that are cut off in a rotation."""
    result = invoke(manifest, "rotate-key", key=NEW + end)
    assert result.exit_code == 0, result.output
    assert digest(NEW)[:16] in result.output
    assert keys_of(manifest) == {OLD, NEW}
    assert invoke(manifest, "rotate-key", key="third").exit_code == 2
    assert keys_of(manifest) == {OLD, NEW}
    assert invoke(manifest, "remove-key", key=OLD + end).exit_code == 0
    assert keys_of(manifest) == {NEW}
    assert keys_of(manifest, "other") == {OTHER}


def test_a_generated_key_is_written_to_a_private_file(manifest, tmp_path):
    """Guard against keys that others can read, or that are printed."""
    file = tmp_path / "key"
    result = invoke(manifest, "add-key", "--generate", file)
    assert result.exit_code == 0, result.output
    key = file.read_text().strip()
    assert len(key) > 40
    assert stat.S_IMODE(file.stat().st_mode) == 0o600
    assert key not in result.output
    assert key not in manifest.read_text()
    assert digest(key) in manifest.read_text()
    before = manifest.read_bytes()
    assert invoke(manifest, "add-key", "--generate", file).exit_code == 2
    assert manifest.read_bytes() == before


def test_a_key_is_removed_by_its_fingerprint(manifest):
    invoke(manifest, "add-key", key=NEW)
    fingerprint = digest(OLD)[:16].upper()
    options = ("--fingerprint", fingerprint)
    assert invoke(manifest, "remove-key", *options).exit_code == 0
    assert keys_of(manifest) == {NEW}
    assert invoke(manifest, "remove-key", *options).exit_code == 2
    assert invoke(manifest, "remove-key", "--fingerprint", "").exit_code == 2
    assert keys_of(manifest) == {NEW}


def test_the_last_key_is_removed_only_on_purpose(manifest):
    assert invoke(manifest, "remove-key", key=OLD).exit_code == 2
    assert keys_of(manifest) == {OLD}
    assert invoke(manifest, "remove-key", "--last", key=OLD).exit_code == 0
    assert keys_of(manifest) == set()


@pytest.mark.parametrize(
    ("name", "key"),
    [
        ("archive", ""),
        ("archive", "\n"),
        ("archive", f"{NEW} x"),
        ("archive", f"{NEW}\nx"),
        ("archive", NEW + "x" * 1024),
        ("archive", OLD),
        ("archive", OTHER),
        ("none", NEW),
    ],
)
def test_a_refused_key_changes_nothing(manifest, name, key):
    """Guard against a file that no longer is a valid manifest."""
    before = manifest.read_bytes()
    result = invoke(manifest, "add-key", key=key, name=name)
    assert result.exit_code == 2
    assert manifest.read_bytes() == before


def test_a_digest_that_looks_like_a_number_survives(fakes, tmp_path):
    """Guard against YAML that is read back as a number."""
    path = tmp_path / "manifest"
    number = "1" * 60 + "1e22"
    tenants = [{"name": "archive", "key_digests": [number]}]
    path.write_text(yaml.dump({**fakes["document"], "tenants": tenants}))
    text = path.read_text().replace(number, f"'{number}'")
    path.write_text(text.replace("''", "'"))
    assert invoke(path, "add-key", key=NEW).exit_code == 0
    (tenant,) = parse_manifest(path.read_bytes()).ok_value.tenants
    assert set(tenant.key_digests) == {number, digest(NEW)}
