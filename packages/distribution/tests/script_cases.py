"""Tests as scripts: ``verb argument; verb argument = result``."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml

FOLDER = Path(__file__).parent


def cases(name):
    """Return the cases of a YAML file, which maps names to rows."""
    rows = yaml.safe_load((FOLDER / f"{name}_cases.yaml").read_text())
    return [
        pytest.param(*(row if isinstance(row, list) else [row]), id=name)
        for name, row in rows.items()
    ]


def play(subject, script):
    """Call the subject's methods; compare results that are given."""
    for step in script.replace("\n", ";").split(";"):
        order, has_result, expected = step.partition(" =")
        if not order.strip():
            continue
        verb, *words = order.split()
        named = dict(word.split(":") for word in words if ":" in word)
        given = [_read(word) for word in words if ":" not in word]
        options = {name: _read(word) for name, word in named.items()}
        result = getattr(subject, verb)(*given, **options)
        if has_result:
            assert str(result) == expected.strip(), step.strip()


def _read(word):
    try:
        return float(word) if "." in word else int(word)
    except ValueError:
        return word
