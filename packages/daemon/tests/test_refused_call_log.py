from rhubarbhollow_daemon.refused_call_log import RefusedCall, RefusedCallLog


def test_call_log_evicts_the_oldest_request():
    log = RefusedCallLog(limit=2)
    call = RefusedCall("t", "r", 1, "", 1, "no_upstream", "no", "")
    for name in (b"a", b"b", b"a", b"c"):
        log.add(name, call)
    assert log.find(b"a") == (call, call)
    assert log.find(b"b") == ()
