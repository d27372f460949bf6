import re
from pathlib import Path

import pytest

from rhubarbhollow_wire.connection import PREFACE
from rhubarbhollow_wire.gen_py.rhubarbhollow import ttypes

DOCS = Path(__file__).resolve().parents[3] / "docs"
PAGE = (DOCS / "PROTOCOL.md").read_text()


@pytest.mark.parametrize("field", ttypes.Frame.__slots__)
def test_page_lists_every_message(field):
    assert re.search(rf"^\|[^|]*`{field}`", PAGE, re.MULTILINE)


def test_page_lists_no_other_message():
    between = PAGE.split("## Messages")[1].split("## Log groups")[0]
    rows = (line.split("|")[1] for line in between.splitlines() if "|" in line)
    named = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
    assert named == set(ttypes.Frame.__slots__)


def test_page_states_the_preface():
    assert f"`{PREFACE.hex(' ')}`" in PAGE


def test_links_of_the_page_point_to_existing_files():
    links = re.findall(r"\]\(([^)#]+)", PAGE)
    assert links
    assert all((DOCS / link).exists() for link in links)
