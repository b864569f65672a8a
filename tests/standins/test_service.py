"""Test the plain-service stand-in: its counts of runs, its refusals and its faults."""

from __future__ import annotations

from pathlib import Path

import anyio
import httpcore
import orjson
import pytest

from turmericweir_standins.asgi import Message, Scope
from turmericweir_standins.listener import Listener
from turmericweir_standins.procs import standin
from turmericweir_standins.record import Recorder, read_records
from turmericweir_standins.service import LatencyModel, Service, ServiceOptions


def service_of(options: ServiceOptions, record: Path | None = None) -> Service:
    recorder = Recorder(None if record is None else str(record))
    return Service(options, recorder, Listener("s", "127.0.0.1:0"))


INSTANT = ServiceOptions(name="counter-api", latency_s=0.0)


class Answer:
    """The service's answer to one call."""

    status: int = 0
    headers: dict[str, str]
    body: bytes = b""

    async def add_message(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {name.decode(): value.decode() for name, value in message["headers"]}
        else:
            self.body += message["body"]

    def json(self) -> dict[str, object]:
        parsed = orjson.loads(self.body)
        assert isinstance(parsed, dict)
        return parsed


async def call(
    service: Service,
    method: str = "POST",
    path: str = "/reserve/12",
    *,
    key: str | None = None,
    request_id: str = "r1",
    body: bytes = b"",
) -> Answer:
    headers = [(b"x-request-id", request_id.encode()), (b"x-attempt-id", b"a1")]
    if key is not None:
        headers.append((b"idempotency-key", key.encode()))
    scope: Scope = {"method": method, "path": path, "query_string": b"", "headers": headers}

    async def receive() -> Message:
        return {"type": "http.request", "body": body}

    answer = Answer()
    await service(scope, receive, answer.add_message)
    return answer


async def set_behaviour(service: Service, **changes: object) -> None:
    answer = await call(service, path="/_standin/behaviour", body=orjson.dumps(changes))
    assert answer.status == 200


async def test_any_method_and_path_is_echoed() -> None:
    service = service_of(INSTANT)
    answer = await call(service, "PUT", "/sizes/7", key="k1", body=b"grey")
    assert answer.json() == {
        "service": "counter-api",
        "path": "/sizes/7",
        "key": "k1",
        "run": 1,
        "echo": "grey",
    }


async def test_runs_are_counted_by_key_and_without_one_by_request_id(tmp_path: Path) -> None:
    service = service_of(INSTANT, tmp_path / "record")
    await call(service, key="k1", request_id="r1")
    answer = await call(service, key="k1", request_id="r2")
    assert answer.json()["run"] == 2
    await call(service, request_id="r3")
    assert service.runs == {"k1": 2, "r3": 1}
    runs = [each for each in read_records(tmp_path / "record") if each["event"] == "run"]
    assert [(each["key"], each["request_id"], each["run"]) for each in runs] == [
        ("k1", "r1", 1),
        ("k1", "r2", 2),
        (None, "r3", 1),
    ]


async def test_calls_over_the_limit_wait_and_calls_over_the_queue_limit_are_refused() -> None:
    # The latency is longer than the test, which cancels the calls.
    options = ServiceOptions(latency_s=3600, limit=2, queue_limit=1)
    service = service_of(options)
    async with anyio.create_task_group() as tasks:
        for number in range(3):
            tasks.start_soon(lambda request_id: call(service, request_id=request_id), f"r{number}")
        await anyio.wait_all_tasks_blocked()
        assert sum(service.runs.values()) == 2
        assert (await call(service, "GET", "/v1/load")).json()["running"] == 2
        refused = await call(service, request_id="r3")
        assert (refused.status, refused.headers["x-not-started"]) == (429, "1")
        tasks.cancel_scope.cancel()
    assert "r3" not in service.runs


@pytest.mark.parametrize(
    ("behaviour", "marks"),
    [
        ({"leaving": True}, {"x-not-started", "x-leaving"}),
        ({"refuse_start": True}, {"x-not-started"}),
    ],
)
async def test_refused_calls_did_not_run(behaviour: dict[str, object], marks: set[str]) -> None:
    service = service_of(INSTANT)
    await set_behaviour(service, **behaviour)
    answer = await call(service, key="k1")
    assert answer.status == 503
    assert {"x-not-started", "x-leaving"} & answer.headers.keys() == marks
    assert service.runs == {}


async def test_leaving_is_reported() -> None:
    service = service_of(INSTANT)
    await set_behaviour(service, leaving=True)
    first = (await call(service, "GET", "/v1/load")).json()
    second = (await call(service, "GET", "/v1/load")).json()
    assert first == {
        "name": "counter-api",
        "incarnation": service.incarnation,
        "seq": 1,
        "running": 0,
        "limit": 32,
        "leaving": True,
    }
    assert second["seq"] == 2


async def test_error_status_is_answered_after_a_run() -> None:
    service = service_of(INSTANT)
    await set_behaviour(service, error_status=500)
    answer = await call(service, key="k1")
    assert (answer.status, answer.json()["run"]) == (500, 1)
    assert "x-not-started" not in answer.headers


async def test_frozen_service_runs_nothing_until_unfrozen() -> None:
    service = service_of(INSTANT)
    await set_behaviour(service, frozen=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: call(service, key="k1"))
        await anyio.wait_all_tasks_blocked()
        assert service.runs == {}
        await set_behaviour(service, frozen=False)
    assert service.runs == {"k1": 1}


def test_durations_follow_the_seed_and_the_median() -> None:
    options = ServiceOptions(latency_s=0.02, seed=7)
    model, same = LatencyModel(options), LatencyModel(options)
    durations = [model.draw() for _ in range(999)]
    assert durations == [same.draw() for _ in range(999)]
    assert sorted(durations)[499] == pytest.approx(0.02, rel=0.1)


def test_dropped_call_has_run_without_an_answer(tmp_path: Path) -> None:
    """Test a connection that closes after the run and before the answer.

    Guards against a dropped call that is not recorded as run.
    """
    record = tmp_path / "record"
    with standin(
        "service", "--latency-ms", "1", "--record", str(record), directory=tmp_path
    ) as service:
        url = f"http://{service.address}"
        httpcore.request("POST", f"{url}/_standin/behaviour", content=b'{"run_then_drop": true}')
        with pytest.raises((httpcore.RemoteProtocolError, httpcore.ReadError)):
            httpcore.request("POST", f"{url}/reserve", headers={"Idempotency-Key": "k1"})
    runs = [each["key"] for each in read_records(record) if each["event"] == "ran"]
    assert runs == ["k1"]
