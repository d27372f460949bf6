"""Division of the order of rules and clusters into notes."""

from hypothesis import given
from hypothesis import strategies as st

from rhubarbhollow_platform import name_runs
from rhubarbhollow_platform.name_runs import join_runs, split_into_runs

NAMES = st.lists(
    st.from_regex(r"[a-z0-9]([a-z0-9-]{0,4}[a-z0-9])?", fullmatch=True),
    unique=True,
    max_size=200,
)
MANY = [f"r-{number * 7919 % 2400:04x}" for number in range(2400)]


def texts_of(notes):
    return [note.text for note in notes]


def names_changed(first, second):
    before, after = set(first), set(second)
    return len(before - after), len(after - before)


@given(NAMES)
def test_runs_join_to_the_names_they_were_split_from(names):
    notes = split_into_runs("order", names)
    assert join_runs(texts_of(notes)) == names
    assert len({note.name for note in notes}) == len(notes)


def test_names_whose_checksums_are_equal_share_a_run(monkeypatch):
    """Guard against one note that replaces another of the same name."""
    monkeypatch.setattr(name_runs.zlib, "crc32", lambda _: 0)
    notes = split_into_runs("order", ["a", "b", "c"])
    assert texts_of(notes) == ["a b c"]


@given(st.integers(0, 2399), st.booleans())
def test_a_name_that_comes_or_goes_changes_two_runs_at_most(at, is_added):
    """A run is also cut or joined if the name is a boundary."""
    names = list(MANY)
    if is_added:
        names.insert(at, "r-new")
    else:
        del names[at]
    before = split_into_runs("order", MANY)
    gone, new = names_changed(before, split_into_runs("order", names))
    assert gone <= 2
    assert new <= 2


def test_runs_have_the_announced_length():
    notes = split_into_runs("order", MANY)
    average = len(MANY) / len(notes)
    assert 0.6 < average / name_runs.NAMES_PER_RUN < 1.6
