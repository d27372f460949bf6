from dataclasses import replace

from rhubarbhollow_placement.load_board import LoadBoard
from rhubarbhollow_placement.upstream_load import RouteTime, UpstreamLoad

LOAD = UpstreamLoad("a/desk", 0, 0, 100, (RouteTime("lookup", 40),))


def test_reports_of_one_upstream_are_joined():
    """Guard against losing the times of an earlier report."""
    board = LoadBoard()
    board.record([LOAD])
    later = replace(LOAD, interactive_ms=40, times=(RouteTime("refund", 90),))
    board.record([later])
    [taken] = board.take_changed()
    assert taken.interactive_ms == 40
    assert set(taken.times) == {*LOAD.times, *later.times}
    assert board.take_changed() == ()
