"""Guards against verdicts on evidence that is repeated or uneven."""

from __future__ import annotations

from rhubarbhollow_rollout.attempt import AttemptEnd
from rhubarbhollow_rollout.evidence_check import is_consistent
from rhubarbhollow_rollout.judge import RolloutJudge, Verdict
from rhubarbhollow_rollout.messages import RolloutEvidence
from rhubarbhollow_rollout.recorder import EvidenceRecorder


def counts(
    stable: tuple[int, int, int, int], new: tuple[int, int, int, int]
) -> tuple[RolloutEvidence, ...]:
    return (RolloutEvidence(1, "r", *stable, *new),)


def test_repeated_totals_count_once() -> None:
    judge = RolloutJudge(1)
    totals = counts((900, 0, 0, 0), (90, 3, 0, 0))
    for now in range(20):
        judge.observe("c1", 1, totals)
        judge.close_strata(now)
    assert judge.judge(20).verdict is Verdict.GOOD
    assert judge.new_calls == 90


def test_a_restarted_instance_adds_to_what_it_reported() -> None:
    judge = RolloutJudge(1)
    judge.observe("c1", 1, counts((900, 0, 0, 0), (90, 3, 0, 0)))
    judge.observe("c1", 2, counts((900, 0, 0, 0), (90, 3, 0, 0)))
    judge.close_strata(1)
    assert judge.judge(1).verdict is Verdict.BAD


def test_evidence_of_another_rollout_is_ignored() -> None:
    judge = RolloutJudge(2)
    judge.observe("c1", 1, counts((900, 0, 0, 0), (90, 50, 0, 0)))
    judge.close_strata(1)
    assert judge.judge(1).verdict is Verdict.GOOD
    assert not judge.has_enough


def test_a_share_that_rises_as_the_day_turns_bad_is_no_evidence() -> None:
    """Summed up, the new version had more of the bad time."""
    judge = RolloutJudge(1)
    judge.observe("c1", 1, counts((2000, 0, 0, 0), (20, 0, 0, 0)))
    judge.close_strata(1)
    judge.observe("c1", 1, counts((3000, 300, 0, 300), (320, 32, 0, 32)))
    judge.close_strata(2)
    assert judge.judge(2).verdict is Verdict.GOOD


def test_upstreams_that_are_killed_are_no_evidence() -> None:
    """Each breaks the calls that it holds, several at a time."""
    judge = RolloutJudge(1)
    judge.observe("c1", 1, counts((2000, 0, 5, 0), (200, 0, 15, 0)))
    judge.close_strata(1)
    assert judge.judge(1).verdict is not Verdict.BAD


def test_a_version_that_breaks_its_connections_is_bad() -> None:
    judge = RolloutJudge(1)
    judge.observe("c1", 1, counts((1000, 0, 2, 0), (100, 0, 30, 0)))
    judge.close_strata(1)
    assert judge.judge(1).verdict is Verdict.BAD


def test_failures_while_all_calls_are_handed_over_count() -> None:
    """There are no calls to the old version to compare with then."""
    judge = RolloutJudge(1)
    judge.observe("c1", 1, counts((2000, 10, 0, 0), (200, 1, 0, 0)))
    judge.close_strata(1)
    judge.observe("c1", 1, counts((2000, 10, 0, 0), (400, 61, 0, 0)))
    judge.close_strata(2)
    assert judge.judge(2).verdict is Verdict.BAD


def record(
    recorder: EvidenceRecorder,
    end: AttemptEnd,
    *,
    seconds: float = 0.1,
    is_new: bool = False,
    is_warm: bool = True,
) -> None:
    recorder.record(
        "r", "u", end, seconds, 0.0, is_new=is_new, is_warm=is_warm
    )


def test_what_a_node_counts() -> None:
    recorder = EvidenceRecorder(1)
    for _ in range(10):
        record(recorder, AttemptEnd.ANSWERED)
    record(recorder, AttemptEnd.ANSWERED, seconds=0.5, is_new=True)
    record(
        recorder,
        AttemptEnd.ANSWERED,
        seconds=0.5,
        is_new=True,
        is_warm=False,
    )
    record(recorder, AttemptEnd.FAILED, is_new=True)
    # One process that is killed breaks several calls.
    record(recorder, AttemptEnd.BROKEN, is_new=True)
    record(recorder, AttemptEnd.BROKEN, is_new=True)
    # A caller that leaves early shows nothing; one that has waited long
    # shows that the answer was late.
    record(recorder, AttemptEnd.CANCELLED, is_new=True)
    record(recorder, AttemptEnd.CANCELLED, seconds=0.5, is_new=True)
    record(recorder, AttemptEnd.TURNED_AWAY, is_new=True)
    record(recorder, AttemptEnd.OTHER, is_new=True)
    assert recorder.take() == counts((10, 0, 0, 0), (5, 1, 1, 2))
    assert not recorder.take()


def test_an_older_summary_takes_nothing_back() -> None:
    judge = RolloutJudge(1)
    judge.observe("c1", 1, counts((900, 0, 0, 0), (90, 0, 0, 0)))
    judge.observe("c1", 1, counts((800, 0, 0, 0), (80, 0, 0, 0)))
    judge.observe("c1", 1, counts((900, 0, 0, 0), (90, 0, 0, 0)))
    judge.close_strata(1)
    assert judge.new_calls == 90


def test_counts_that_cannot_be_are_refused() -> None:
    """They would end the leader by a logarithm of a negative number."""
    assert is_consistent(counts((9, 1, 0, 2), (3, 1, 1, 1))[0])
    for stable, new in (
        ((9, 1, 0, 2), (3, 2, 1, 1)),
        ((9, 9, 1, 0), (3, 0, 0, 0)),
        ((9, -1, 0, 0), (3, 0, 0, 0)),
        ((-1, 0, 0, 0), (3, 0, 0, 0)),
        ((9, 0, 0, 0), (1 << 41, 0, 0, 0)),
    ):
        assert not is_consistent(counts(stable, new)[0])
