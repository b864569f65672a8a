"""A stream that is cut midway is gone on with: no token is lost, doubled or another's."""

from __future__ import annotations

from pathlib import Path

from tests.failures.fault_cluster import Chats, chats, small
from turmericweir_standins.procs import wait_until


def test_cut_streams_are_resumed(tmp_path: Path) -> None:
    # Callers see whole answers, each token once and each its own, though engines keep closing the
    # connections of their answers. The instance tells the next engine how many tokens the caller
    # was sent and their text; the engine refuses a text that is not the answer's beginning.
    with chats(small(), tmp_path) as callers:
        callers.cluster.behave("lm-1", cut_after_tokens=7, cut_once=True)
        callers.cluster.behave("lm-2", cut_after_tokens=11, cut_once=True)
        sent = [callers.send(f"quote {number} [len=60]") for number in range(8)]
        answers = [each.result() for each in sent]
        assert [each.is_whole() for each in answers] == [True] * 8
        resumed = [each for each in callers.cluster.records("received") if each["from_token"] > 0]
        assert len(resumed) >= 2
        assert len(callers.cluster.records("received")) == 8 + len(resumed)


def test_engine_killed_in_the_middle(tmp_path: Path) -> None:
    # An engine dies while it streams. Its callers wait a moment and then get the rest of their
    # answers from the other engine, from the very next token on.
    with chats(small(instances=1), tmp_path) as callers:
        sent = [callers.send(f"essay {number} [len=400]") for number in range(4)]
        wait_for_tokens(callers, "lm-1")
        callers.cluster.servers["lm-1"].kill()
        answers = [each.result() for each in sent]
        assert [each.is_whole() for each in answers] == [True] * 4
        resumed = [each for each in callers.cluster.records("received") if each["from_token"] > 0]
        assert resumed
        assert {each["server"] for each in resumed} == {"lm-2"}


def test_no_retry_without_budget(tmp_path: Path) -> None:
    # Every answer is cut again and again. The instance's retries are a fraction of the requests and
    # no lower layer retries either, so the engines see few attempts more than requests; callers are
    # told `failed`, with the part that they have, and never a clean end.
    options = {"retry_burst": 4.0, "retry_share": 0.0, "attempts_max": 100}
    with chats(small(instances=1), tmp_path, **options) as callers:
        callers.cluster.behave("lm-1", cut_after_tokens=3)
        callers.cluster.behave("lm-2", cut_after_tokens=3)
        answers = [callers.ask(f"note {number} [len=50]") for number in range(6)]
        assert not any(each.done for each in answers)
        assert {each.outcome for each in answers} == {"failed"}
        assert len(callers.cluster.records("received")) == 6 + 4


def wait_for_tokens(callers: Chats, server: str) -> None:
    """Wait until an engine has made tokens for some request."""

    def has_tokens() -> bool:
        progress = [
            each for each in callers.cluster.records("progress") if each["server"] == server
        ]
        return any(tokens > 0 for each in progress for _, _, tokens in each["tokens"])

    wait_until(has_tokens, f"tokens of {server}")
