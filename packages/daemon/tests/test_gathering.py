import anyio

from rhubarbhollow_daemon.gathering import Gathering


def test_returns_when_all_have_answered_and_ignores_late_answers():
    async def scenario():
        gathering = Gathering[str](60.0)

        def ask(request_id):
            gathering.take(request_id, "first")
            gathering.take(request_id + 1, "of another request")
            gathering.take(request_id, "second")

        answers = await gathering.gather(2, ask)
        gathering.take(1, "late")
        return answers

    assert anyio.run(scenario) == ("first", "second")


def test_omits_processes_that_do_not_answer():
    async def scenario():
        return await Gathering[str](0.0).gather(1, lambda _: None)

    assert anyio.run(scenario) == ()
