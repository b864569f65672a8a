"""Open connections that stop carrying data for good while new connections work."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Final

from tests.failures.fault_cluster import ChatCallers, chat_callers, runs_by_request, small
from turmericweir_standins.deployment import token_of
from turmericweir_standins.procs import JsonAnswer, call_json, wait_until

# Far longer than the detection of a silent connection; the tests don't rely on the deadline.
DEADLINE_MS: Final = "50000"


def wait_streams(callers: ChatCallers, requests: int) -> None:
    """Wait until the engines have generated tokens for this many requests."""

    def streaming_count() -> int:
        progress = callers.cluster.records("progress")
        return len({name for each in progress for name, _, count in each["tokens"] if count > 0})

    wait_until(lambda: streaming_count() >= requests, f"tokens for {requests} requests")


def test_streams_resume_after_their_connections_go_silent(tmp_path: Path) -> None:
    # Guards against streams that hang when the network drops their connections: the instance
    # resumes them over new connections to the same engine and cancels the old attempts there.
    with chat_callers(small(engines=1, instances=1), tmp_path) as callers:
        assert callers.ask("warm up [len=5]").is_complete()
        sent = [
            callers.send(f"essay {number} [len=900]", Turmericweir_Deadline_Ms=DEADLINE_MS)
            for number in range(3)
        ]
        wait_streams(callers, 3)
        callers.cluster.set_route_faults("lm-1", silence_existing=True)
        assert [each.result().is_complete() for each in sent] == [True] * 3
        resumed = [each for each in callers.cluster.records("received") if each["from_token"] > 0]
        assert len(resumed) == 3
        ends = callers.cluster.records("ended")
        assert sum(1 for each in ends if each["outcome"] == "cancelled") == 3


def test_request_on_an_idle_connection_that_went_silent_is_retried(tmp_path: Path) -> None:
    # Guards against a request that is lost on an idle connection which went silent. The engine's
    # report does not count the request, so the instance retries over a new connection.
    with chat_callers(small(engines=1, instances=1), tmp_path, probe_s=0.2) as callers:
        assert callers.ask("warm up [len=5]").is_complete()
        callers.cluster.set_route_faults("lm-1", silence_existing=True)
        answer = callers.send("quick [len=20]", Turmericweir_Deadline_Ms=DEADLINE_MS).result()
        assert answer.is_complete()
        # The attempt over the silent connection did not reach the engine.
        assert set(runs_by_request(callers.cluster.records("started")).values()) == {1}
        suspected = callers.cluster.instances["entry-1"].state()["first_waits"]["suspected_count"]
        assert suspected == 1


def test_connections_of_several_engines_go_silent_together(tmp_path: Path) -> None:
    # Guards against a wait for the long timeout of a single silent stream when all streams stop
    # together and the engines answer a probe over a new connection. The lost attempts are cancelled
    # and no answer is generated twice to its end.
    with chat_callers(small(instances=1), tmp_path, silence_s=300.0) as callers:
        sent = [callers.send(f"essay {number} [len=900]") for number in range(4)]
        wait_streams(callers, 4)
        for server in ("lm-1", "lm-2"):
            callers.cluster.set_route_faults(server, silence_existing=True)
        assert [each.result().is_complete() for each in sent] == [True] * 4
        ends = Counter(each["outcome"] for each in callers.cluster.records("ended"))
        assert ends == {"cancelled": 4, "finished": 4}


def reserve(callers: ChatCallers, name: str) -> JsonAnswer:
    """Make a call without a key, which must not be repeated."""
    address = callers.cluster.instances["entry-1"].address
    headers = {"Authorization": f"Bearer {token_of('shop-1')}"}
    return call_json(address, "POST", "/services/shop/reserve", {"name": name}, headers, 60.0)


def check(callers: ChatCallers, name: str) -> JsonAnswer:
    """Make a call that may be repeated."""
    address = callers.cluster.instances["entry-1"].address
    headers = {"Authorization": f"Bearer {token_of('shop-1')}"}
    return call_json(address, "POST", "/services/shop/check", {"name": name}, headers, 60.0)


def test_non_repeatable_call_never_uses_a_keep_alive_connection(tmp_path: Path) -> None:
    # Guards against the loss of a non-repeatable call on a silent keep-alive connection: such a
    # call is sent on a new connection and runs once.
    with chat_callers(small(instances=1), tmp_path) as callers:
        for number in range(4):
            assert check(callers, f"stock {number}").status == 200
        for server in ("shop-1", "shop-2"):
            callers.cluster.set_route_faults(server, silence_existing=True)
        answers = [reserve(callers, f"size {number}") for number in range(3)]
        assert [each.status for each in answers] == [200] * 3
        runs = runs_by_request(callers.cluster.records("run", "shop"))
        assert set(runs.values()) == {1}
        assert len(runs) == 4 + 3


def test_repeatable_call_lost_on_a_keep_alive_connection_is_retried(tmp_path: Path) -> None:
    # Guards against waiting until the deadline for a repeatable call that was lost on a silent
    # keep-alive connection: it is retried.
    with chat_callers(small(instances=1), tmp_path, probe_s=0.2) as callers:
        assert check(callers, "warm up").status == 200
        for server in ("shop-1", "shop-2"):
            callers.cluster.set_route_faults(server, silence_existing=True)
        assert check(callers, "again").status == 200
