"""Test the platform stand-in: its classes with a given time, and its faults in a real process."""

from __future__ import annotations

import http.client
import signal
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from turmericweir_standins.platform import (
    AppendLimit,
    ExpiredError,
    InstanceList,
    ListedInstance,
    Stream,
    WeightStore,
)
from turmericweir_standins.procs import (
    JsonAnswer,
    Process,
    ProcessError,
    call_json,
    set_behaviour,
    standin,
    wait_until,
)
from turmericweir_standins.record import read_records

RETENTION = 5
# Safety limit for a read that waits for an event.
LONG_WAIT_MS = 20_000
# Time without an answer after which a call counts as hanging.
HANG_S = 0.3


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Process]:
    args = ["--retention", str(RETENTION), "--record", str(tmp_path / "record")]
    with standin("platform", *args, "--list-lag-s", "0", directory=tmp_path) as process:
        yield process


def append(address: str, *numbers: int, caller: str = "a") -> JsonAnswer:
    records = [{"n": number} for number in numbers]
    body = {"records": records}
    return call_json(address, "POST", "/log/settings/append", body, {"X-Instance": caller})


def read(address: str, start: int, wait_ms: int = 0, caller: str = "a") -> JsonAnswer:
    path = f"/log/settings?from={start}&wait_ms={wait_ms}"
    return call_json(address, "GET", path, headers={"X-Instance": caller}, timeout_s=30)


def events(directory: Path, event: str) -> list[dict[str, Any]]:
    return [line for line in read_records(directory / "record") if line["event"] == event]


def entry(name: str) -> ListedInstance:
    return ListedInstance(name=name, kind="entry", data_centre="eros", address="127.0.0.1:1")


class Background:
    """A call in a thread; the test can act while it waits."""

    def __init__(self, address: str, start: int) -> None:
        self.answer: JsonAnswer | None = None
        self._args = (address, start)
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        self.answer = read(*self._args, wait_ms=LONG_WAIT_MS)

    def result(self) -> JsonAnswer:
        self._thread.join()
        assert self.answer is not None
        return self.answer


class TestParts:
    def test_stream_keeps_the_newest_records_and_counts_on(self) -> None:
        stream = Stream()
        assert stream.append([{"n": 0}, {"n": 1}], retention=3) == 0
        assert stream.append([{"n": 2}, {"n": 3}], retention=3) == 2
        page = stream.read(1, limit=2)
        assert [record["offset"] for record in page.records] == [1, 2]
        assert [record["value"] for record in page.records] == [{"n": 1}, {"n": 2}]
        assert (page.oldest, page.end) == (1, 4)
        with pytest.raises(ExpiredError):
            stream.read(0, limit=2)

    def test_append_limit_holds_in_every_window(self) -> None:
        limit = AppendLimit()
        assert limit.take(10.0, per_s=2)
        assert limit.take(10.9, per_s=2)
        assert not limit.take(10.95, per_s=2)
        assert limit.take(11.0, per_s=2)
        assert not limit.take(11.5, per_s=2)

    def test_weights_are_granted_at_the_rate_and_no_sooner(self) -> None:
        store = WeightStore()
        assert store.ask(5.0, per_s=0.5) == 0
        assert store.ask(6.5, per_s=0.5) == 0.5
        assert store.ask(7.0, per_s=0.5) == 0

    def test_list_lags_in_both_directions(self) -> None:
        instances = InstanceList()
        instances.change("a", entry("a"), now=0.0, lag_s=2.0)
        assert instances.visible_entries(1.9) == []
        assert [listed.name for listed in instances.visible_entries(2.0)] == ["a"]
        instances.change("a", None, now=3.0, lag_s=2.0)
        assert [listed.name for listed in instances.visible_entries(4.9)] == ["a"]
        assert instances.visible_entries(5.0) == []
        assert instances.version == 2


class TestLog:
    def test_records_of_one_append_are_consecutive_and_readable(self, platform: Process) -> None:
        assert append(platform.address, 1, 2).body == {"first": 0, "end": 2}
        assert append(platform.address, 3).body == {"first": 2, "end": 3}
        assert read(platform.address, 1).body == {
            "records": [{"offset": 1, "value": {"n": 2}}, {"offset": 2, "value": {"n": 3}}],
            "end": 3,
            "oldest": 0,
        }

    def test_read_of_expired_records_gets_gone(self, platform: Process) -> None:
        append(platform.address, *range(RETENTION + 2))
        answer = read(platform.address, 1)
        assert answer.status == 410
        assert answer.body == {"oldest": 2, "end": RETENTION + 2}

    def test_long_poll_ends_with_the_append(self, platform: Process, tmp_path: Path) -> None:
        waiting = Background(platform.address, start=0)
        wait_until(lambda: bool(events(tmp_path, "read_waits")), "the long poll waits")
        append(platform.address, 7)
        assert waiting.result().body["records"] == [{"offset": 0, "value": {"n": 7}}]

    def test_long_poll_ends_without_records(self, platform: Process) -> None:
        assert read(platform.address, 0, wait_ms=20).body["records"] == []

    def test_append_beyond_the_rate_is_refused_without_effect(self, platform: Process) -> None:
        set_behaviour(platform.address, appends_per_s=0)
        answer = append(platform.address, 1)
        assert answer.status == 429
        assert "retry-after" in answer.headers
        assert read(platform.address, 0).body["end"] == 0

    def test_malformed_append_is_refused(self, platform: Process) -> None:
        answer = call_json(platform.address, "POST", "/log/settings/append", {"records": [1]})
        assert answer.status == 400


class TestFaults:
    def test_lost_acknowledgement(self, platform: Process, tmp_path: Path) -> None:
        # Guards against an append that has no effect when its acknowledgement is lost.
        set_behaviour(platform.address, lose_acks=1)
        with pytest.raises((http.client.RemoteDisconnected, ConnectionResetError)):
            append(platform.address, 1)
        assert append(platform.address, 2).body["first"] == 1
        assert [line["acked"] for line in events(tmp_path, "append")] == [False, True]

    def test_outage_that_refuses(self, platform: Process) -> None:
        # Guards against appends that take effect in the outage; the list still answers.
        set_behaviour(platform.address, outage=True, outage_mode="refuse")
        assert append(platform.address, 1).status == 503
        assert read(platform.address, 0).status == 503
        assert call_json(platform.address, "GET", "/instances").status == 200
        set_behaviour(platform.address, outage=False)
        assert append(platform.address, 2).body["first"] == 0

    def test_outage_that_hangs_ends(self, platform: Process) -> None:
        # Guards against a hanging call that gets no answer after the outage.
        set_behaviour(platform.address, outage=True)
        with pytest.raises(TimeoutError):
            call_json(platform.address, "GET", "/log/settings?from=0", timeout_s=HANG_S)
        waiting = Background(platform.address, start=0)
        set_behaviour(platform.address, outage=False)
        append(platform.address, 1)
        assert waiting.result().status == 200

    def test_outage_applies_to_waiting_long_polls(self, platform: Process, tmp_path: Path) -> None:
        # Guards against a long poll that began before the outage and still delivers records.
        waiting = Background(platform.address, start=0)
        wait_until(lambda: bool(events(tmp_path, "read_waits")), "the long poll waits")
        set_behaviour(platform.address, outage=True, outage_mode="refuse")
        assert waiting.result().status == 503

    def test_answers_held_back(self, platform: Process, tmp_path: Path) -> None:
        # Guards against answers to the caller or to readers while answers are held back; the append
        # takes effect.
        set_behaviour(platform.address, hold_answers=True)
        with ThreadPoolExecutor(1) as pool:
            appended = pool.submit(append, platform.address, 1)
            wait_until(lambda: bool(events(tmp_path, "append")), "the append is recorded")
            reading = Background(platform.address, start=0)
            with pytest.raises(TimeoutError):
                call_json(platform.address, "GET", "/log/settings?from=0", timeout_s=HANG_S)
            assert not appended.done()
            set_behaviour(platform.address, hold_answers=False)
            assert appended.result().body["first"] == 0
            assert reading.result().body["end"] == 1

    def test_cut_off_callers(self, platform: Process) -> None:
        # Guards against answers to callers that are cut off, and refusals of other callers.
        set_behaviour(platform.address, cut_from=["a"])
        assert append(platform.address, 1, caller="a").status == 503
        assert append(platform.address, 1, caller="b").status == 200
        headers = {"X-Instance": "a"}
        assert call_json(platform.address, "GET", "/instances", headers=headers).status == 503

    def test_stops_while_calls_hang(self, platform: Process) -> None:
        # Guards against a platform that does not stop while calls hang.
        set_behaviour(platform.address, outage=True)
        with pytest.raises(TimeoutError):
            call_json(platform.address, "GET", "/log/settings?from=0", timeout_s=HANG_S)
        assert platform.stop() == 0


class TestListAndWeights:
    def test_list(self, platform: Process) -> None:
        body = entry("a").model_dump()
        call_json(platform.address, "POST", "/_standin/instances", body)
        assert call_json(platform.address, "GET", "/instances").body["instances"] == [body]
        call_json(platform.address, "DELETE", "/_standin/instances/a")
        answer = call_json(platform.address, "GET", "/instances")
        assert answer.body == {"instances": [], "version": 2}

    def test_list_down(self, platform: Process) -> None:
        set_behaviour(platform.address, list_down=True)
        assert call_json(platform.address, "GET", "/instances").status == 503

    def test_weights(self, platform: Process) -> None:
        body = {"model": "tailor-lm", "version": "3"}
        assert call_json(platform.address, "POST", "/weights/grant", body).body["granted"]
        set_behaviour(platform.address, weights_per_s=0)
        answer = call_json(platform.address, "POST", "/weights/grant", body)
        assert answer.status == 429
        assert "retry-after" in answer.headers
        set_behaviour(platform.address, weights_down=True)
        assert call_json(platform.address, "POST", "/weights/grant", body).status == 503


class TestProcess:
    def test_paused_platform_answers_after_it_resumes(self, platform: Process) -> None:
        # Guards against calls during a pause that get no answer after it. The kernel accepts their
        # connections meanwhile.
        platform.pause()
        with pytest.raises(TimeoutError):
            call_json(platform.address, "GET", "/instances", timeout_s=HANG_S)
        waiting = Background(platform.address, start=0)
        platform.resume()
        append(platform.address, 1)
        assert waiting.result().status == 200

    def test_killed_platform_starts_again_empty(self, tmp_path: Path) -> None:
        with standin("platform", directory=tmp_path) as first:
            append(first.address, 1)
            first.kill()
            assert first.wait() == -signal.SIGKILL
        with standin("platform", "--address", first.address, directory=tmp_path) as second:
            assert second.address == first.address
            assert read(second.address, 0).body["end"] == 0

    def test_process_that_ends_before_it_is_ready(self, tmp_path: Path) -> None:
        with (
            pytest.raises(ProcessError, match="No such option"),
            standin("platform", "--no-such-option", directory=tmp_path),
        ):
            pass
