"""Open connections that go silent for good while new ones work: nobody waits for nothing."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Final

from tests.failures.fault_cluster import Chats, chats, runs_by_request, small
from turmericweir_standins.deployment import token_of
from turmericweir_standins.procs import JsonAnswer, call_json, wait_until

# Far longer than it takes to notice a silent connection; an answer that only came by the deadline
# would be a failure, and the test would not wait for it.
DEADLINE_MS: Final = "50000"


def wait_streams(callers: Chats, requests: int) -> None:
    """Wait until the engines have made tokens for so many requests."""

    def count() -> int:
        progress = callers.cluster.records("progress")
        return len({name for each in progress for name, _, made in each["tokens"] if made > 0})

    wait_until(lambda: count() >= requests, f"tokens for {requests} requests")


def test_streams_whose_connection_goes_silent(tmp_path: Path) -> None:
    # The callers' streams pause for a moment and go on, whole. Something between instance and
    # engine loses its connections in the middle; the instance notices that nothing comes, and
    # resumes over a new connection, also with the one engine there is: it is not to blame. It
    # is told over another connection to stop the old attempts, and does not work on for nobody.
    with chats(small(engines=1, instances=1), tmp_path) as callers:
        assert callers.ask("warm up [len=5]").is_whole()
        sent = [
            callers.send(f"essay {number} [len=900]", Turmericweir_Deadline_Ms=DEADLINE_MS)
            for number in range(3)
        ]
        wait_streams(callers, 3)
        callers.cluster.fault("lm-1", silence_existing=True)
        assert [each.result().is_whole() for each in sent] == [True] * 3
        resumed = [each for each in callers.cluster.records("received") if each["from_token"] > 0]
        assert len(resumed) == 3
        ends = callers.cluster.records("ended")
        assert sum(1 for each in ends if each["outcome"] == "cancelled") == 3


def test_first_token_over_a_connection_that_went_silent_idle(tmp_path: Path) -> None:
    # The instance kept a connection from the request before; it went silent while it was idle. The
    # next request goes out over it and no engine ever sees it. Its caller gets the whole answer all
    # the same, long before its deadline: the engine's report does not count the request, so the
    # instance tries again over another connection.
    with chats(small(engines=1, instances=1), tmp_path, probe_s=0.2) as callers:
        assert callers.ask("warm up [len=5]").is_whole()
        callers.cluster.fault("lm-1", silence_existing=True)
        answer = callers.send("quick [len=20]", Turmericweir_Deadline_Ms=DEADLINE_MS).result()
        assert answer.is_whole()
        # Both requests began once: the attempt over the silent connection reached nobody.
        assert set(runs_by_request(callers.cluster.records("started")).values()) == {1}
        used = callers.cluster.instances["entry-1"].state()["silence"]["doubted"]
        assert used == 1


def test_several_engines_whose_connections_go_silent_together(tmp_path: Path) -> None:
    # The callers' streams go on, though the instance would wait for minutes before it doubts a
    # stream for its silence alone. All streams stop together, and the engines answer a probe over a
    # new connection at once: the connections are lost, not the engines. Each engine is told to stop
    # what it still generates for nobody, and none makes an answer twice to its end.
    with chats(small(instances=1), tmp_path, silence_s=300.0) as callers:
        sent = [callers.send(f"essay {number} [len=900]") for number in range(4)]
        wait_streams(callers, 4)
        for server in ("lm-1", "lm-2"):
            callers.cluster.fault(server, silence_existing=True)
        assert [each.result().is_whole() for each in sent] == [True] * 4
        ends = Counter(each["outcome"] for each in callers.cluster.records("ended"))
        assert ends == {"cancelled": 4, "finished": 4}


def reserve(callers: Chats, name: str) -> JsonAnswer:
    """Reserve at the counter, without a key: sent once, and never again."""
    address = callers.cluster.instances["entry-1"].address
    headers = {"Authorization": f"Bearer {token_of('shop-1')}"}
    return call_json(address, "POST", "/services/shop/reserve", {"name": name}, headers, 60.0)


def check(callers: Chats, name: str) -> JsonAnswer:
    """Ask for stock, which may be asked for again."""
    address = callers.cluster.instances["entry-1"].address
    headers = {"Authorization": f"Bearer {token_of('shop-1')}"}
    return call_json(address, "POST", "/services/shop/check", {"name": name}, headers, 60.0)


def test_reservation_never_goes_out_on_a_kept_connection(tmp_path: Path) -> None:
    # All kept connections to the services have gone silent. A reservation must not be sent twice,
    # so it may not be lost on one of them either: it goes out on a new one, runs once, and its
    # caller is told so at once.
    with chats(small(instances=1), tmp_path) as callers:
        for number in range(4):
            assert check(callers, f"stock {number}").status == 200
        for server in ("shop-1", "shop-2"):
            callers.cluster.fault(server, silence_existing=True)
        answers = [reserve(callers, f"size {number}") for number in range(3)]
        assert [each.status for each in answers] == [200] * 3
        runs = runs_by_request(callers.cluster.records("run", "shop"))
        assert set(runs.values()) == {1}
        assert len(runs) == 4 + 3


def test_repeatable_call_over_a_kept_connection(tmp_path: Path) -> None:
    # The same, for a call that may be repeated: it may go out on a kept connection and be lost, and
    # is then tried again, so that its caller gets the answer well before its deadline.
    with chats(small(instances=1), tmp_path, probe_s=0.2) as callers:
        assert check(callers, "warm up").status == 200
        for server in ("shop-1", "shop-2"):
            callers.cluster.fault(server, silence_existing=True)
        assert check(callers, "again").status == 200
