from rhubarbhollow_calls.io_counters import RouteCounters
from rhubarbhollow_daemon.metrics import Metrics
from rhubarbhollow_daemon.readings import _read_route


def test_idle_routes_have_no_series():
    assert not list(_read_route("idle", RouteCounters()))


def test_a_route_shows_what_it_has_counted():
    counters = RouteCounters()
    counters.answered = 3
    counters.retries = 1
    answer = Metrics("n1", "ilala").render(_read_route("lookups", counters))
    text = answer.body.decode()
    labels = 'data_centre="ilala",instance="n1"'
    calls = f'{{{labels},outcome="answered",route="lookups"}} 3'
    retries = f'{{{labels},route="lookups"}} 1'
    assert f"rhubarbhollow_calls_total{calls}" in text
    assert f"rhubarbhollow_call_retries_total{retries}" in text
    assert text.count("lookups") == 2
