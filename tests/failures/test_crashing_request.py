"""The request that crashes servers: found within two crashes, and nobody else pays for it."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from tests.failures.fault_cluster import Chats, chats, small
from turmericweir_standins.procs import wait_until

POISON = "bring it down [crash] [len=50]"


def crashes(callers: Chats) -> int:
    """Count the crashes that the engines noted."""
    return len(callers.cluster.records("crash"))


def wait_tokens(callers: Chats, requests: int) -> None:
    """Wait until the engines have made tokens for so many requests."""

    def count() -> int:
        progress = callers.cluster.records("progress")
        return len({name for each in progress for name, _, made in each["tokens"] if made > 0})

    wait_until(lambda: count() >= requests, f"tokens for {requests} requests")


def test_found_within_two_crashes(tmp_path: Path) -> None:
    # The caller of the poisoned request is told that it failed and is in quarantine. It takes down
    # an engine with all that runs there, in flight through every instance; these get their whole
    # answers all the same. The suspects run on one at a time, so the second crash names the one:
    # were they all sent to the other engine at once, it would go down with all of them again.
    with chats(small(engines=2, instances=3), tmp_path) as callers:
        innocents = [
            callers.send(f"essay {number} [len=300]", instance=1 + number % 3)
            for number in range(4)
        ]
        wait_tokens(callers, 4)
        poisoned = callers.ask(POISON, instance=2)
        assert (poisoned.outcome, poisoned.reason) == ("failed", "quarantined")
        assert crashes(callers) == 2
        assert [each.result().is_whole() for each in innocents] == [True] * 4
        assert crashes(callers) == 2


def test_sent_again_through_other_instances(tmp_path: Path) -> None:
    # Its caller sends it again, through each instance, one of them started after the crashes. All
    # refuse it, and no engine sees it again: instances tell each other of crashes, and a newcomer
    # asks for them.
    with chats(small(engines=3, instances=2), tmp_path) as callers:
        first = callers.ask(POISON, instance=1)
        assert first.reason == "quarantined"
        received = len(callers.cluster.records("received"))
        callers.cluster.add_instance(2)

        def knows(name: str) -> bool:
            state = callers.cluster.instances[name].state()
            return bool(state["quarantine"]["refused"])

        for number in (1, 2, 3):
            name = f"entry-{number}"
            wait_until(partial(knows, name), f"{name} knows the verdict")
            again = callers.ask(POISON, instance=number)
            assert (again.outcome, again.reason) == ("failed", "quarantined")
        assert len(callers.cluster.records("received")) == received
        assert crashes(callers) == 2
        # Nobody else is refused.
        assert callers.ask("hello [len=20]", instance=3).is_whole()


def test_sent_through_two_instances_at_once(tmp_path: Path) -> None:
    # An impatient caller sends it through two instances at the same moment. Whichever engines it
    # takes down, there are no more than two crashes, and both copies are refused.
    with chats(small(engines=3, instances=2), tmp_path) as callers:
        copies = [callers.send(POISON, instance=number) for number in (1, 2)]
        answers = [each.result() for each in copies]
        assert {each.reason for each in answers} == {"quarantined"}
        assert crashes(callers) <= 2
