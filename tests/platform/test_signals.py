"""Tests of signals in series and beside a stop, until the process is gone."""

from __future__ import annotations

import contextlib
import http.client
import os
import signal
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

import pytest

from tests.platform.platform_world import PlatformWorld, call_on, connection_to, until
from tests.platform.signal_series import signal_until_gone
from tests.platform.test_process_ends import ended_line
from tests.promises import NOT_RUN_STATUSES
from turmericweir_standins.procs import Process


@contextlib.contextmanager
def signals_until_gone(process: Process, seed: int, pause_max_s: float) -> Iterator[None]:
    """Send signals beside what a test does."""
    args = (process, Random(seed), pause_max_s)
    thread = threading.Thread(target=signal_until_gone, args=args)
    thread.start()
    yield
    thread.join()


@pytest.mark.parametrize(("seed", "pause_max_s"), [(1, 0.002), (2, 0.01), (3, 0.05), (4, 0.5)])
def test_signals_until_the_process_is_gone_end_it_as_one_stop(
    tmp_path: Path, seed: int, pause_max_s: float
) -> None:
    # Guards against a signal beside a stop that ends the process before the stop has.
    with PlatformWorld(tmp_path, bounds={"grace_s": 3}) as world, ThreadPoolExecutor(1) as pool:
        instance = world.running["entry-1"]
        world.set_mode("hold", "lm-1", "lm-2")
        stream = pool.submit(world.send, "/lm/doc/", request_id="s1")
        until(lambda: len(world.runs("s1")) == 1, "the stream runs")
        idle = connection_to(instance.caller_address)
        idle.connect()
        os.kill(instance.process.pid, signal.SIGTERM)
        until(lambda: bool(instance.logged("stopping")), "the instance stops")
        with signals_until_gone(instance.process, seed, pause_max_s):
            for name in ("lm-1", "lm-2"):
                world.release_held(name)
            answer = stream.result(20)
            assert (answer.status, answer.is_cut, len(answer.event_data)) == (200, False, 6)
        assert instance.process.wait(20) == 0
        assert ended_line(instance)["reason"] == "stop_requested"
        # What the stop wrote to the idle connection is there after the process is gone.
        assert _read_status(idle) in NOT_RUN_STATUSES


def _read_status(conn: http.client.HTTPConnection) -> int:
    response = http.client.HTTPResponse(conn.sock, method="POST")
    response.begin()
    return response.status


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_during_the_start_ends_it_as_a_stop(
    tmp_path: Path, signum: signal.Signals
) -> None:
    # Guards against a stop during the imports that resets the callers who wait for the process.
    with PlatformWorld(tmp_path, instances=2, bounds={"grace_s": 3}) as world:
        instance = world.running["entry-1"]
        instance.process.kill()
        instance.process.wait(20)
        world.restart_instance("entry-1")
        conn = _connect_when_open(instance.caller_address)
        os.kill(instance.process.pid, signum)
        headers = world.request_headers("/shop/look/", "l1")
        answer = call_on(conn, "GET", "/shop/look/", b"", headers)
        assert answer.status == 200 or answer.status in NOT_RUN_STATUSES
        assert instance.process.wait(20) == 0
        assert ended_line(instance)["reason"] == "stop_requested"


def _connect_when_open(address: str) -> http.client.HTTPConnection:
    conn = connection_to(address)

    def connect() -> bool:
        try:
            conn.connect()
        except ConnectionRefusedError:
            return False
        return True

    until(connect, "the callers' port listens")
    return conn
