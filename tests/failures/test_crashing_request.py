"""A request that crashes engines is quarantined after two crashes; other requests are not lost."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from tests.failures.fault_cluster import ChatCallers, chat_callers, small
from turmericweir_standins.procs import wait_until

CRASHING_PROMPT = "bring it down [crash] [len=50]"


def crash_count(callers: ChatCallers) -> int:
    """Return the number of crashes that the engines recorded."""
    return len(callers.cluster.records("crash"))


def wait_tokens(callers: ChatCallers, requests: int) -> None:
    """Wait until the engines have generated tokens for this many requests."""

    def streaming_count() -> int:
        progress = callers.cluster.records("progress")
        return len({name for each in progress for name, _, count in each["tokens"] if count > 0})

    wait_until(lambda: streaming_count() >= requests, f"tokens for {requests} requests")


def test_crashing_request_is_quarantined_after_two_crashes(tmp_path: Path) -> None:
    # Guards against further crashes and lost answers: the suspects of the first crash are retried
    # one at a time, so the second crash identifies the crashing request, and all other requests
    # get their complete answers.
    with chat_callers(small(engines=2, instances=3), tmp_path) as callers:
        other_requests = [
            callers.send(f"essay {number} [len=300]", instance=1 + number % 3)
            for number in range(4)
        ]
        wait_tokens(callers, 4)
        crashing = callers.ask(CRASHING_PROMPT, instance=2)
        assert (crashing.outcome, crashing.reason) == ("failed", "quarantined")
        assert crash_count(callers) == 2
        assert [each.result().is_complete() for each in other_requests] == [True] * 4
        assert crash_count(callers) == 2


def test_quarantined_request_is_refused_by_all_instances(tmp_path: Path) -> None:
    # Guards against a quarantined request that runs again through another instance: instances
    # share quarantine verdicts, and an instance that starts later fetches them.
    with chat_callers(small(engines=3, instances=2), tmp_path) as callers:
        first = callers.ask(CRASHING_PROMPT, instance=1)
        assert first.reason == "quarantined"
        received_count = len(callers.cluster.records("received"))
        callers.cluster.add_instance(2)

        def has_verdict(name: str) -> bool:
            state = callers.cluster.instances[name].state()
            return bool(state["quarantine"]["refused"])

        for number in (1, 2, 3):
            name = f"entry-{number}"
            wait_until(partial(has_verdict, name), f"{name} has the verdict")
            again = callers.ask(CRASHING_PROMPT, instance=number)
            assert (again.outcome, again.reason) == ("failed", "quarantined")
        assert len(callers.cluster.records("received")) == received_count
        assert crash_count(callers) == 2
        # Other requests are not refused.
        assert callers.ask("hello [len=20]", instance=3).is_complete()


def test_crashing_request_through_two_instances_at_once(tmp_path: Path) -> None:
    # Guards against more than two crashes when the request is sent through two instances at once.
    with chat_callers(small(engines=3, instances=2), tmp_path) as callers:
        copies = [callers.send(CRASHING_PROMPT, instance=number) for number in (1, 2)]
        answers = [each.result() for each in copies]
        assert {each.reason for each in answers} == {"quarantined"}
        assert crash_count(callers) <= 2
