"""Parsing of the burn report and its HTML page."""

import copy
import json
import re
import xml.etree.ElementTree as ET
from datetime import UTC, datetime

import pytest
from result import Err

from rhubarbhollow_cli.burn_page import NO_SERVICES, format_burn_page
from rhubarbhollow_cli.burn_plot import plot_share, plot_windows
from rhubarbhollow_cli.burn_report import WindowBurn, read_burn_report
from rhubarbhollow_cli.exit_code import ExitCode

HOSTILE = "<script>alert('\"&')</script>"
READ_AT = datetime(2026, 1, 2, 3, 4, 5, tzinfo=UTC)


def window(name="1h", failed=2, late=1, availability=20.0, latency=None):
    return {
        "window": name,
        "calls": 100,
        "failed": failed,
        "late": late,
        "availability_burn": availability,
        "latency_burn": latency,
    }


def part(scope, name, *windows):
    return {"scope": scope, "name": name, "windows": list(windows)}


REPORT = {
    "position": 7,
    "nodes": 9,
    "services": [
        {
            "service": "desk",
            "state": "fast_burn",
            "availability": 0.999,
            "latency_ms": 100,
            "latency_ratio": 0.99,
            "availability_remaining": -19.0,
            "latency_remaining": 1,
            "windows": [window("5m", latency=1.5), window("1h")],
            "parts": [
                part("position", "7", window()),
                part("route", "lookup", window()),
                part("upstream", "a/one", window(failed=0, late=1)),
                part("upstream", "b/two", window(failed=2, late=0)),
                part("upstream", "c/three", window("5m", failed=9)),
            ],
        },
    ],
}


def page_of(document):
    return format_burn_page(read_burn_report(document).unwrap(), READ_AT)


def changed(path, value):
    document = copy.deepcopy(REPORT)
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return document


def test_page_shows_objectives_budgets_bars_and_parts():
    page = page_of(REPORT)
    for expected in (
        "position 7. Nodes: 9",
        "2026-01-02T03:04:05+00:00",
        '<span class="fast_burn">fast burn</span>',
        "0.99 within 100 ms",
        "-1900.0%",
        ">5m latency</text>",
        "<h3>By release</h3>",
        "<h3>By route</h3>",
        "2 failed, 0 late of 100",
    ):
        assert expected in page
    lines = re.findall(r'<text class="reference".*?>(.*?)</text>', page)
    assert lines == ["1", "6", "14.4"]
    order = [page.index(f"<td>{name}</td>") for name in ("b/two", "a/one")]
    assert order == sorted(order)
    assert re.findall(r'class="bad" width="([0-9.]+)"', page)[-3:] == [
        "66.7",
        "33.3",
        "0.0",
    ]


def test_page_loads_no_other_resources():
    """The page must be complete as a single file."""
    page = page_of(REPORT)
    assert not re.search(
        r"\b(src|href|srcset|action)=|url\(|@import|<script|<link", page
    )
    assert "default-src 'none'" in page


SERVICE = ("services", 0)


@pytest.mark.parametrize(
    "path",
    [
        (*SERVICE, "service"),
        (*SERVICE, "state"),
        (*SERVICE, "windows", 0, "window"),
        (*SERVICE, "parts", 1, "scope"),
        (*SERVICE, "parts", 1, "name"),
        (*SERVICE, "parts", 1, "windows", 0, "window"),
    ],
)
def test_page_escapes_names(path):
    """Names come from the network and must not inject markup."""
    page = page_of(changed(path, HOSTILE))
    assert "alert" in page.lower()
    assert "<script" not in page.lower()
    # apart from the <meta> elements, the page is well-formed XML
    ET.fromstring(re.sub(r"<!DOCTYPE html>|<meta[^>]*>", "", page))


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        ({"position": 0, "nodes": 0, "services": []}, NO_SERVICES),
        (changed((*SERVICE, "windows"), []), "No calls have been counted"),
        (changed((*SERVICE, "parts"), []), "<h2>desk"),
        (
            changed((*SERVICE, "latency_ms"), None),
            "<td>latency</td><td>-</td>",
        ),
    ],
)
def test_page_shows_missing_values(document, expected):
    assert expected in page_of(document)


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (("position",), True, "position"),
        (("nodes",), -1, "nodes"),
        (("services",), None, "services"),
        (("services",), [1], "services"),
        ((*SERVICE, "state"), None, "state"),
        ((*SERVICE, "availability"), "1", "availability"),
        ((*SERVICE, "latency_remaining"), float("nan"), "latency_remaining"),
        ((*SERVICE, "windows", 0, "latency_burn"), True, "latency_burn"),
        ((*SERVICE, "windows", 0, "calls"), 1.0, "calls"),
        ((*SERVICE, "parts", 0, "windows"), {}, "windows"),
    ],
)
def test_invalid_field_is_named(path, value, field):
    """An unexpected type must give a fault that names the field."""
    read = read_burn_report(changed(path, value))
    assert isinstance(read, Err)
    assert read.err_value.field == field


@pytest.mark.parametrize("rate", [0.0, 1.0, 14.4, 20.0, 1000.0, 1e300])
def test_bars_stay_in_the_plot_and_in_order(rate):
    """Bars of very high rates must not extend beyond the plot."""
    plot = plot_windows([WindowBurn("1h", 9, 1, 0, rate, 0.5)], "t")
    ends = [float(x) for x in re.findall(r'<line.*?x1="([0-9.]+)"', plot)]
    bars = re.findall(r'x="120" y="\d+" width="([0-9.]+)"', plot)
    wide, narrow = (120 + float(width) for width in bars)
    assert ends == sorted(set(ends))
    assert narrow <= ends[0]
    assert wide <= 580
    for reference, x in zip((1, 6, 14.4), ends, strict=True):
        assert (wide >= x) == (rate >= reference)


def test_plot_is_empty_without_objectives():
    assert not plot_windows([WindowBurn("1h", 9, 1, 0, None, None)], "t")
    assert 'class="bad" width="100.0"' in plot_share(7)


def test_writes_the_page_in_addition_to_the_output(run, serve, tmp_path):
    """An invalid report must not leave a page behind."""
    server = serve({("GET", "/v1/burn"): [(200, REPORT)]})
    file = tmp_path / "burn.html"
    command = ("report", "burn", "--server", server.url, "--html")
    for output in ("table", "json"):
        result = run(*command, file, "--output", output)
        assert result.exit_code == ExitCode.DONE, result.output
        assert file.read_text().startswith("<!DOCTYPE html>")
    assert json.loads(result.stdout) == REPORT
    lost = run(*command, tmp_path / "absent" / "burn.html")
    assert lost.exit_code == ExitCode.BAD_INPUT
    other = serve({("GET", "/v1/burn"): [(200, {"position": "1"})]})
    result = run(*command[:3], other.url, "--html", tmp_path / "new")
    assert result.exit_code == ExitCode.UNKNOWN
    assert not (tmp_path / "new").exists()
