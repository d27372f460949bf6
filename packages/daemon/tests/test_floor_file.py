import pytest

from rhubarbhollow_daemon.floor_file import FLOOR_FILE_NAME, FloorFile


def test_highest_position_survives_a_restart(tmp_path):
    floor = FloorFile(tmp_path)
    for position in (3, 2, 7):
        floor.raise_to(position)
    assert FloorFile(tmp_path).position == 7


@pytest.mark.parametrize("text", ["", "7", "8 123", "x y", "7 1 2"])
def test_damaged_file_reads_as_zero_and_is_reported(tmp_path, text):
    (tmp_path / FLOOR_FILE_NAME).write_text(text)
    floor = FloorFile(tmp_path)
    assert (floor.position, floor.is_damaged) == (0, True)
    floor.raise_to(1)
    assert FloorFile(tmp_path).position == 1
