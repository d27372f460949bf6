import anyio

from rhubarbhollow_daemon.scatter_gather import ScatterGather


def test_returns_when_all_have_answered_and_ignores_late_answers():
    async def scenario():
        scatter_gather = ScatterGather[str](60.0)

        def ask(request_id):
            scatter_gather.deliver(request_id, "first")
            scatter_gather.deliver(request_id + 1, "of another request")
            scatter_gather.deliver(request_id, "second")

        answers = await scatter_gather.gather(2, ask)
        scatter_gather.deliver(1, "late")
        return answers

    assert anyio.run(scenario) == ("first", "second")


def test_omits_processes_that_do_not_answer():
    async def scenario():
        return await ScatterGather[str](0.0).gather(1, lambda _: None)

    assert anyio.run(scenario) == ()
