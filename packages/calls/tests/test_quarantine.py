import random
from itertools import permutations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rhubarbhollow_calls.call_fingerprint import fingerprint_call
from rhubarbhollow_calls.quarantine import (
    BASE_QUARANTINE_SECONDS,
    CRASH_RETENTION_SECONDS,
    MAX_QUARANTINE_SECONDS,
    Quarantine,
)
from rhubarbhollow_calls.quarantine_message import CrashReport, Exoneration
from rhubarbhollow_calls.quarantine_verdict import (
    DeferredSuspect,
    MayRun,
    Quarantined,
)
from rhubarbhollow_wire.clock import ManualClock

POISON, HOT, RARE = b"poison", b"hot", b"rare"


class Mesh:
    """Run three nodes that receive each other's messages at once."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.nodes = [Quarantine(self.clock) for _ in range(3)]
        self.incarnation = 0

    def start(self, node: int, fingerprint: bytes) -> int:
        verdict = self.nodes[node].try_start(fingerprint)
        assert isinstance(verdict, MayRun)
        return verdict.epoch

    def crash(self, node: int) -> None:
        self.incarnation += 1
        reports = self.nodes[node].crashed(f"u{node}", self.incarnation)
        self.broadcast(reports)

    def complete(self, node: int, fingerprint: bytes, epoch: int) -> None:
        self.broadcast(self.nodes[node].completed(fingerprint, epoch))

    def broadcast(
        self, messages: tuple[CrashReport | Exoneration, ...]
    ) -> None:
        for message in messages:
            for node in self.nodes:
                node.merge(message)

    def quarantined(self, fingerprint: bytes) -> list[bool]:
        return [
            isinstance(node.verdict(fingerprint), Quarantined)
            for node in self.nodes
        ]


def crash_twice(mesh: Mesh, beside: bytes) -> None:
    for node in range(2):
        mesh.start(node, POISON)
        epoch = mesh.start(node, beside) if not node else None
        mesh.crash(node)
        assert epoch != mesh.start(node, b"other")


def test_two_crashes_quarantine_on_all_nodes() -> None:
    mesh = Mesh()
    crash_twice(mesh, HOT)
    assert mesh.quarantined(POISON) == [True] * 3
    assert mesh.quarantined(HOT) == [False] * 3
    verdict = mesh.nodes[2].try_start(POISON)
    assert verdict == Quarantined(2, BASE_QUARANTINE_SECONDS)
    mesh.clock.advance(BASE_QUARANTINE_SECONDS)
    assert mesh.quarantined(POISON) == [False] * 3


def test_each_further_crash_lengthens_the_quarantine() -> None:
    mesh = Mesh()
    crash_twice(mesh, HOT)
    terms = []
    for _ in range(5):
        verdict = mesh.nodes[0].verdict(POISON)
        assert isinstance(verdict, Quarantined)
        terms.append(verdict.remaining_seconds)
        mesh.clock.advance(verdict.remaining_seconds + 0.01)
        mesh.start(2, POISON)
        mesh.crash(2)
    assert terms == [60, 240, 960, 3600, MAX_QUARANTINE_SECONDS]


def test_crash_of_one_incarnation_counts_once() -> None:
    """A repeated report must not quarantine a request by itself."""
    mesh = Mesh()
    report = CrashReport(POISON, "u0", 5, mesh.clock.utc().timestamp())
    assert [mesh.nodes[0].merge(report) for _ in range(2)] == [True, False]
    assert mesh.quarantined(POISON) == [False] * 3


def test_completion_anywhere_clears_a_suspect_everywhere() -> None:
    """HOT runs beside POISON at each crash, but completes elsewhere."""
    mesh = Mesh()
    for node in (0, 1):
        mesh.start(node, POISON)
        mesh.start(node, HOT)
        mesh.crash(node)
        mesh.complete(2, HOT, mesh.start(2, HOT))
    assert mesh.quarantined(HOT) == [False] * 3
    assert mesh.quarantined(POISON) == [True] * 3


def test_suspects_do_not_run_together() -> None:
    """If two suspects ran at once, a crash could not identify one.

    Requests that are not suspects run beside either.
    """
    mesh = Mesh()
    mesh.start(0, POISON)
    mesh.start(0, RARE)
    mesh.crash(0)
    mesh.start(1, POISON)
    assert isinstance(mesh.nodes[1].try_start(RARE), DeferredSuspect)
    mesh.start(1, b"clean")
    # RARE was not running, so this crash does not count against it.
    mesh.crash(1)
    assert mesh.quarantined(POISON) == [True] * 3
    assert mesh.quarantined(RARE) == [False] * 3
    mesh.complete(2, RARE, mesh.start(2, RARE))
    mesh.start(2, RARE)
    mesh.start(2, b"clean")


def test_innocent_request_in_two_crashes_is_cleared_by_completion() -> None:
    """A request in flight at two crashes is quarantined without cause.

    After the first quarantine it runs, and its completion clears it of
    both crashes, so that one further crash does not quarantine it.
    """
    mesh = Mesh()
    for node, poison in ((0, POISON), (1, b"other poison")):
        mesh.start(node, poison)
        mesh.start(node, RARE)
        mesh.crash(node)
    assert mesh.quarantined(RARE) == [True] * 3
    mesh.clock.advance(BASE_QUARANTINE_SECONDS)
    mesh.complete(2, RARE, mesh.start(2, RARE))
    mesh.start(0, RARE)
    mesh.crash(0)
    assert mesh.quarantined(RARE) == [False] * 3


def test_late_ends_of_interrupted_calls_are_ignored() -> None:
    """The end of a call of an earlier epoch says nothing.

    It must neither clear the request nor end the run that was started
    after the crash.
    """
    mesh = Mesh()
    epoch = mesh.start(0, POISON)
    mesh.crash(0)
    mesh.start(0, POISON)
    mesh.nodes[0].abandoned(POISON, epoch)
    assert mesh.nodes[0].completed(POISON, epoch) == ()
    # POISON is still in flight, so the next crash is its second.
    mesh.crash(0)
    assert mesh.quarantined(POISON) == [True] * 3


def test_node_applies_its_own_messages_at_once() -> None:
    """A node does not depend on receiving its own messages back."""
    node = Quarantine(ManualClock())
    for incarnation in (1, 2):
        for _ in range(2):
            verdict = node.try_start(HOT)
            assert isinstance(verdict, MayRun)
            node.try_start(POISON)
        # One of the two runs of HOT is abandoned, the other is
        # interrupted by the crash.
        node.abandoned(HOT, verdict.epoch)
        reports = node.crashed("u0", incarnation)
        assert {report.fingerprint for report in reports} == {HOT, POISON}
        verdict = node.try_start(HOT)
        assert isinstance(verdict, MayRun)
        cleared = node.completed(HOT, verdict.epoch)
        assert [message.incarnation for message in cleared] == [incarnation]
        assert node.completed(HOT, verdict.epoch) == ()
    assert isinstance(node.verdict(POISON), Quarantined)


def test_merge_is_commutative_and_idempotent() -> None:
    at = ManualClock().utc().timestamp()
    messages = [
        CrashReport(POISON, "u0", 1, at),
        CrashReport(POISON, "u1", 1, at - 5),
        Exoneration(POISON, "u0", 1, at),
        CrashReport(POISON, "u2", 1, at - 9),
    ]
    states = set()
    for order in permutations(messages):
        node = Quarantine(ManualClock())
        for message in (*order, *order):
            node.merge(message)
        states.add((frozenset(node.messages()), node.verdict(POISON)))
    assert len(states) == 1


def test_suspects_expire_and_are_bounded() -> None:
    """Evicting must not drop the suspect with the most crashes."""
    clock = ManualClock()
    node = Quarantine(clock, max_suspects=10)
    now = clock.utc().timestamp()
    for upstream in ("u0", "u1"):
        node.merge(CrashReport(POISON, upstream, 1, now))
    for index in range(50):
        node.merge(CrashReport(b"%d" % index, "u9", index, now))
    assert len({m.fingerprint for m in node.messages()}) == 10
    assert isinstance(node.verdict(POISON), Quarantined)
    assert not node.merge(CrashReport(RARE, "u9", 1, now + 3600))
    node.forget_old()
    assert isinstance(node.verdict(POISON), Quarantined)
    clock.advance(CRASH_RETENTION_SECONDS + 1)
    node.forget_old()
    assert node.messages() == ()
    assert not node.merge(CrashReport(POISON, "u0", 1, now))


def test_fingerprints_differ_by_each_part() -> None:
    parts = [b"r", b"POST", b"/x", b"key"]
    whole = fingerprint_call(*parts)
    assert len(whole) == 16
    assert whole == fingerprint_call(*parts)
    moved = [b"rP", b"OST", b"/x", b"key"]
    others = [[*parts[:i], b"z", *parts[i + 1 :]] for i in range(4)]
    assert len({fingerprint_call(*p) for p in (parts, moved, *others)}) == 6


class QuarantineMachine(RuleBasedStateMachine):
    """Crash and complete at random against a plain record of events."""

    fingerprints = st.sampled_from([POISON, HOT, RARE])

    def __init__(self) -> None:
        super().__init__()
        self.mesh = Mesh()
        self.running: list[tuple[int, bytes, int]] = []
        # Crashes since the request last completed.
        self.crashes = dict.fromkeys((POISON, HOT, RARE), 0)

    @rule(node=st.integers(0, 2), fingerprint=fingerprints)
    def start(self, node: int, fingerprint: bytes) -> None:
        others = {f for n, f, _ in self.running if n == node}
        is_suspect = self.crashes[fingerprint] > 0
        match self.mesh.nodes[node].try_start(fingerprint):
            case MayRun(epoch):
                is_alone = not any(self.crashes[f] for f in others)
                assert not is_suspect or is_alone
                self.running.append((node, fingerprint, epoch))
            case DeferredSuspect():
                assert is_suspect
                assert any(self.crashes[f] for f in others)
            case Quarantined(crashes):
                assert crashes == self.crashes[fingerprint] >= 2

    @rule(index=st.integers(0, 20), is_whole=st.booleans())
    def end(self, index: int, is_whole: bool) -> None:
        if index >= len(self.running):
            return
        node, fingerprint, epoch = self.running.pop(index)
        if is_whole:
            self.mesh.complete(node, fingerprint, epoch)
            self.crashes[fingerprint] = 0
        else:
            self.mesh.nodes[node].abandoned(fingerprint, epoch)

    @rule(node=st.integers(0, 2))
    def crash(self, node: int) -> None:
        self.mesh.crash(node)
        for fingerprint in {f for n, f, _ in self.running if n == node}:
            self.crashes[fingerprint] += 1
        self.running = [run for run in self.running if run[0] != node]

    @rule(seconds=st.sampled_from([1.0, 70.0, 300.0]))
    def advance(self, seconds: float) -> None:
        self.mesh.clock.advance(seconds)

    @invariant()
    def nodes_agree(self) -> None:
        for fingerprint, crashes in self.crashes.items():
            verdicts = self.mesh.quarantined(fingerprint)
            assert len(set(verdicts)) == 1
            assert crashes >= 2 or not any(verdicts)


TestQuarantineMachine = QuarantineMachine.TestCase
TestQuarantineMachine.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)


def test_long_run_loses_few_upstreams_to_a_poison_request() -> None:
    rng = random.Random(9)
    mesh = Mesh()
    crashes = 0
    refused_innocent = 0
    innocent = 0
    for _ in range(30_000):
        mesh.clock.advance(0.01)
        node = rng.randrange(3)
        beside = [b"%d" % rng.randrange(400) for _ in range(4)]
        epochs = []
        for fingerprint in beside:
            innocent += 1
            verdict = mesh.nodes[node].try_start(fingerprint)
            if isinstance(verdict, MayRun):
                epochs.append((fingerprint, verdict.epoch))
            elif isinstance(verdict, Quarantined):
                refused_innocent += 1
        is_sent = rng.random() < 0.05
        if is_sent and isinstance(mesh.nodes[node].try_start(POISON), MayRun):
            mesh.crash(node)
            crashes += 1
        for fingerprint, epoch in epochs:
            mesh.complete(node, fingerprint, epoch)
    # Two crashes at first and one when the quarantine of 60 s ends. The
    # next quarantine of 240 s lasts until the end of the 300 s.
    assert crashes == 3
    assert refused_innocent <= innocent * 1e-3
