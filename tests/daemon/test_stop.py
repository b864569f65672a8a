"""Starting and stopping the process."""

from __future__ import annotations

import contextlib
import json
import os
import select
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.single import MODEL, Single, completion, daemon, events_of, outcome_of, texts_of
from turmericweir_standins.procs import Process, call_json, free_address, wait_until

TOKENS = 150


def test_graceful_stop_completes_running_streams(tmp_path: Path) -> None:
    # A stop must end readiness at once, but not the streams in flight.
    with Single(tmp_path) as single:
        single.wait_server(f"{MODEL}-1")
        body = completion("a long answer", TOKENS, stream=True)
        conn, response = single.open("POST", "/v1/chat/completions", body)
        with contextlib.closing(conn):
            first = response.readline()
            single.process.terminate()
            wait_until(lambda: not single.ready(), "readiness falls")
            received = first + response.read()

        assert len(texts_of(received)) == TOKENS
        assert outcome_of(received)["outcome"] == "completed"
        assert events_of(received)[-1] == b"data: [DONE]"
        assert single.process.wait() == 0


def test_requests_are_served_during_the_stop_grace_period(tmp_path: Path) -> None:
    # Callers must be served until the balancer has noticed the stop.
    with Single(tmp_path, settings={"stop_grace_s": 5.0}) as single:
        single.wait_server(f"{MODEL}-1")
        single.process.terminate()
        wait_until(lambda: not single.ready(), "readiness falls")

        # Several requests, because closing a listening socket is not immediate.
        replies = [single.complete(f"late {number}", 2, stream=False) for number in range(30)]

        assert {each.status for each in replies} == {200}
        # Makes callers reconnect, and thereby reach another instance.
        assert {each.headers["connection"] for each in replies} == {"close"}
        single.process.kill()


def test_request_that_crosses_the_close_of_its_connection_is_answered(tmp_path: Path) -> None:
    # Guards against requests on idle connections that a stopping instance closes without an answer.
    with Single(tmp_path, settings={"stop_grace_s": 0.1}) as single:
        single.wait_server(f"{MODEL}-1")
        host, _, port = single.address.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            single.process.terminate()
            # The instance has written or closed; the caller has not noticed.
            select.select([sock], [], [])
            sock.sendall(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = sock.makefile("rb").read()
        assert answer.startswith(b"HTTP/1.1 408 ")
        assert b"turmericweir-outcome: not_run" in answer
        assert single.process.wait() == 0


def test_second_interrupt_ends_the_process_at_once(tmp_path: Path) -> None:
    with Single(tmp_path, settings={"stop_grace_s": 60.0}) as single:
        os.kill(single.process.pid, signal.SIGINT)
        wait_until(lambda: not single.ready(), "readiness falls")
        os.kill(single.process.pid, signal.SIGINT)
        assert single.process.wait() == 130


def test_signals_until_the_process_is_gone_end_it_as_one_stop(tmp_path: Path) -> None:
    # Guards against a signal beside a stop that ends the process before the stop has.
    with Single(tmp_path, settings={"stop_grace_s": 0.1}) as single:
        while single.process.is_running:
            os.kill(single.process.pid, signal.SIGTERM)
            time.sleep(0.002)
        assert single.process.wait() == 0


def test_flood_of_signals_ends_the_process_as_one_stop(tmp_path: Path) -> None:
    # Guards against handlers that are interrupted by the next signal until the stack is full.
    with Single(tmp_path, settings={"stop_grace_s": 0.1}) as single:
        for _ in range(300_000):
            if single.process.is_running:
                os.kill(single.process.pid, signal.SIGTERM)
        assert single.process.wait() == 0


# Any: tests also need invalid values.
def settings(**changes: Any) -> dict[str, Any]:
    """Return valid settings with the changes applied; None removes a field."""
    value = {
        "name": "entry-1",
        "data_centre": "dc-1",
        "region": "home",
        "caller_address": free_address(),
        "admin_address": free_address(),
        "peer_address": free_address(),
        "platform": {"address": free_address()},
        **changes,
    }
    return {name: each for name, each in value.items() if each is not None}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        pytest.param("{", "parse settings", id="no JSON"),
        pytest.param(json.dumps(settings(name=None)), "name: Field required", id="missing"),
        pytest.param(json.dumps(settings(nmae="x")), "nmae: Extra inputs", id="misspelt"),
        pytest.param(
            json.dumps(settings(caller_address="here:80")),
            "caller_address: Value error, expected ip:port",
            id="address",
        ),
        pytest.param(
            json.dumps(settings(options={"tick": 1})),
            "options: Value error, no option is called 'tick'",
            id="unknown option",
        ),
    ],
)
def test_wrong_settings_end_it_with_the_field(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "wrong.json"
    path.write_text(text)
    process = daemon(path, tmp_path)
    process.start()
    try:
        assert process.wait() == 2
    finally:
        process.stop()
    assert expected in process.stderr_text()
    assert str(path) in process.stderr_text()


@pytest.mark.parametrize("field", ["caller_address", "admin_address", "peer_address"])
def test_address_in_use_is_named(tmp_path: Path, field: str) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        path = tmp_path / "taken.json"
        path.write_text(json.dumps(settings(**{field: address})))
        process = daemon(path, tmp_path)
        process.start()
        try:
            assert process.wait() == 2
        finally:
            process.stop()
    assert address in process.stderr_text()
    assert "Traceback" not in process.stderr_text()


@pytest.mark.parametrize("fault", ["no JSON", "address in use"])
def test_start_is_refused_before_the_daemon_is_imported(tmp_path: Path, fault: str) -> None:
    # Guards against refused starts that cost as much processor time as a whole start.
    path = tmp_path / "refused.json"
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        path.write_text("{" if fault == "no JSON" else json.dumps(settings(peer_address=address)))
        argv = [sys.executable, "-X", "importtime", "-m", "turmericweir.main", "--config"]
        process = Process([*argv, str(path)], name="entry-1", directory=tmp_path)
        process.start()
        try:
            assert process.wait() == 2
        finally:
            process.stop()
    assert "turmericweir.process.process_settings" in process.stderr_text()
    assert "turmericweir.daemon" not in process.stderr_text()


@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (0, 1, 2)])
def test_closed_standard_streams_do_not_end_the_start(
    tmp_path: Path, closed: tuple[int, ...]
) -> None:
    # Guards against a process that needs its streams, or writes its log into a socket.
    value = settings()
    path = tmp_path / "entry-1.json"
    path.write_text(json.dumps(value))
    closing = " ".join(f"{fd}>&-" for fd in closed)
    shell = f'exec "$0" -m turmericweir.main --config "$1" {closing}'
    argv = ["/bin/sh", "-c", shell, sys.executable, str(path)]
    process = Process(argv, name="entry-1", directory=tmp_path)
    process.start()

    def is_listening() -> bool:
        assert process.is_running
        with contextlib.suppress(OSError):
            return call_json(value["admin_address"], "GET", "/readyz").status == 503
        return False

    try:
        wait_until(is_listening, "the process answers")
        for fd in closed:
            assert os.readlink(f"/proc/{process.pid}/fd/{fd}") == os.devnull
    finally:
        status = process.stop()
    assert status == 0


def test_requests_are_refused_without_settings(tmp_path: Path) -> None:
    value = settings()
    path = tmp_path / "alone.json"
    path.write_text("// Comments are allowed.\n" + json.dumps(value))
    with daemon(path, tmp_path):
        ready = call_json(value["admin_address"], "GET", "/readyz")
        answer = call_json(value["caller_address"], "GET", "/v1/models")
    assert ready.status == 503
    assert ready.body["has_settings"] is False
    assert answer.status == 503
    assert answer.body["reason"] == "no_settings"
