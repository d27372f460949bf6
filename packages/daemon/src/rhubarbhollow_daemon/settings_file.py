"""Loading of the settings file of ``rhubarbhollowd``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from rhubarbhollow_daemon.settings import Settings
from rhubarbhollow_daemon.settings_checks import find_contradictions
from rhubarbhollow_daemon.settings_document import load_document
from rhubarbhollow_daemon.settings_fault import (
    SettingsFault,
    SettingsFaultKind,
    SettingsFaults,
)
from rhubarbhollow_daemon.settings_instance import InstanceSettings
from rhubarbhollow_daemon.settings_keys import load_approval_key
from rhubarbhollow_daemon.settings_listen import ListenSettings
from rhubarbhollow_daemon.settings_logs import LogsSettings
from rhubarbhollow_daemon.settings_reading import (
    read_calls,
    read_control,
    read_controls,
    read_distribution,
    read_drain,
)
from rhubarbhollow_daemon.settings_schema import find_schema_faults

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

MAX_SETTINGS_BYTES: Final = 256 * 1024


def load_settings(path: Path) -> Result[Settings, SettingsFaults]:
    """Read and validate a settings file; report all faults together.

    Relative paths in the file are relative to the file's folder.
    Consistency is checked only once the document matches the schema.
    """
    text = _read_text(path)
    if isinstance(text, Err):
        return Err(SettingsFaults((text.err_value,)))
    document = load_document(text.ok_value)
    if isinstance(document, Err):
        return Err(SettingsFaults((document.err_value,)))
    value: Any = document.ok_value.value
    faults = {*document.ok_value.duplicates, *find_schema_faults(value)}
    if faults:
        return _refuse(faults)
    return _build(value, path.parent)


def _read_text(path: Path) -> Result[str, SettingsFault]:
    try:
        data = path.read_bytes()
    except OSError as error:
        return _unreadable(type(error).__name__)
    if len(data) > MAX_SETTINGS_BYTES:
        return _unreadable(
            f"the file is longer than {MAX_SETTINGS_BYTES} bytes"
        )
    try:
        return Ok(data.decode())
    except UnicodeDecodeError:
        return _unreadable("the file is not valid UTF-8")


def _build(
    value: Mapping[str, Any],
    folder: Path,
) -> Result[Settings, SettingsFaults]:
    keys = [
        load_approval_key(source, folder, f"/approval_keys/{index}")
        for index, source in enumerate(value["approval_keys"])
    ]
    settings = Settings(
        mesh=value["mesh"],
        instance=InstanceSettings(**value["instance"]),
        listen=ListenSettings(**value["listen"]),
        advertise_host=value.get("advertise_host", value["listen"]["host"]),
        approval_keys=tuple(
            key.ok_value for key in keys if isinstance(key, Ok)
        ),
        controls=read_controls(value["controls"]),
        control=read_control(value.get("control"), folder),
        distribution=read_distribution(value.get("distribution", {})),
        calls=read_calls(value.get("calls", {})),
        drain=read_drain(value.get("drain", {})),
        logs=LogsSettings(**value.get("logs", {})),
    )
    faults = {key.err_value for key in keys if isinstance(key, Err)}
    faults.update(find_contradictions(settings))
    return _refuse(faults) if faults else Ok(settings)


def _refuse(faults: set[SettingsFault]) -> Err[SettingsFaults]:
    return Err(SettingsFaults(tuple(sorted(faults))))


def _unreadable(detail: str) -> Err[SettingsFault]:
    return Err(SettingsFault("", SettingsFaultKind.UNREADABLE, detail))
