import anyio
import pytest
from result import Err, Ok

from rhubarbhollow_daemon.outbox import BATCH_MESSAGES, Outbox
from rhubarbhollow_wire.faults import (
    ConnectionEnded,
    FrameTooLarge,
    UnencodableMessage,
)


class Connection:
    """Accept a number of batches, then fail."""

    def __init__(self, batches):
        self.sent = []
        self._remaining_batches = batches

    async def send(self, *messages):
        if self._remaining_batches == 0:
            return Err(ConnectionEnded(is_clean=True))
        self._remaining_batches -= 1
        self.sent.append(messages)
        return Ok(None)


@pytest.mark.parametrize(
    ("limit", "count", "dropped"), [(4, 3, 0), (4, 4, 0), (4, 9, 5)]
)
def test_full_queue_drops_the_newest_messages(limit, count, dropped):
    outbox = Outbox(limit)
    for number in range(count):
        outbox.put(number)
    assert outbox.dropped == dropped
    connection = Connection(1)

    async def run():
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(outbox.pump, connection)
                await anyio.wait_all_tasks_blocked()
                scope.cancel()

    anyio.run(run)
    assert connection.sent == [tuple(range(min(limit, count)))]


@pytest.mark.parametrize(
    "fault",
    [UnencodableMessage("CrashReport", "OverflowError"), FrameTooLarge(9, 8)],
)
def test_a_message_that_cannot_be_sent_leaves_the_pump_running(fault):
    """One odd value must end neither the connection nor the process."""

    class Choosy(Connection):
        async def send(self, *messages):
            if messages == ("odd",):
                return Err(fault)
            return await super().send(*messages)

    outbox, connection = Outbox(), Choosy(1)

    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(outbox.pump, connection)
            for message in ("odd", "good"):
                outbox.put(message)
                await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()

    anyio.run(run)
    assert connection.sent == [("good",)]
    assert outbox.dropped == 1


def test_failed_connection_ends_the_pump():
    """The pump must return, and not drop the rest, on a failed send.

    Messages that were left over from it are discarded by ``clear``.
    """
    outbox = Outbox()
    for number in range(2 * BATCH_MESSAGES + 1):
        outbox.put(number)
    connection = Connection(1)
    anyio.run(outbox.pump, connection)
    assert connection.sent == [tuple(range(BATCH_MESSAGES))]
    outbox.put("old")
    outbox.clear()
    for number in range(2):
        outbox.put(number)
    connection = Connection(0)
    anyio.run(outbox.pump, connection)
    assert (connection.sent, outbox.dropped) == ([], 0)
