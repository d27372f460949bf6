"""Tests written as scripts of ``method argument = result`` steps."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml

FOLDER = Path(__file__).parent


def cases(name):
    """Return the cases of a YAML file that maps names to rows."""
    rows = yaml.safe_load((FOLDER / f"{name}_cases.yaml").read_text())
    return [
        pytest.param(*(row if isinstance(row, list) else [row]), id=name)
        for name, row in rows.items()
    ]


def play(subject, script):
    """Call methods of ``subject``; check each result that is given."""
    for step in script.replace("\n", ";").split(";"):
        call, has_result, expected = step.partition(" =")
        if not call.strip():
            continue
        method, *words = call.split()
        named = dict(word.split(":") for word in words if ":" in word)
        positional = [_read(word) for word in words if ":" not in word]
        options = {name: _read(word) for name, word in named.items()}
        result = getattr(subject, method)(*positional, **options)
        if has_result:
            assert str(result) == expected.strip(), step.strip()


def _read(word):
    try:
        return float(word) if "." in word else int(word)
    except ValueError:
        return word
