"""Tests that the daemon sends the metrics that the operators' page lists."""

from __future__ import annotations

import re
import socket
import threading
from collections.abc import Iterator
from contextlib import closing, contextmanager
from pathlib import Path

from tests.daemon.single import MODEL, SERVICE, RawRequest, RawServer, Single, completion
from turmericweir_standins.procs import free_address, set_behaviour, wait_until

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "logs-and-metrics.md"
LINE = re.compile(r"turmericweir\.entry-1\.(\S+):[0-9.]+\|(c|ms)")
RAW_MODEL = "raw-model"
KINDS = {"counter": "c", "timer": "ms"}


class StatsdServer:
    """Records the names and kinds of the metrics that it receives."""

    def __init__(self) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self.received: set[tuple[str, str]] = set()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while data := self._sock.recv(65_536):
            lines = data.decode().split("\n")
            matches = [LINE.fullmatch(line) for line in lines]
            assert all(matches), lines
            self.received.update((match[1], match[2]) for match in matches if match)


def listed_by_server() -> set[tuple[str, str]]:
    """Return the names and kinds of the metrics by server on the operators' page."""
    section = PAGE.read_text().partition("### By server")[2].partition("###")[0]
    rows = [line.split("|") for line in section.splitlines() if line.startswith("| `")]
    return {
        (name, KINDS[row[2].strip()])
        for row in rows
        for name in re.findall(r"`([a-z_.]+\.)SERVER`", row[1])
    }


def leave_stream(single: Single, prompt: str) -> None:
    """Start a stream and close it after its first line."""
    with stream(single, prompt):
        pass


@contextmanager
def stream(single: Single, prompt: str) -> Iterator[None]:
    """Start a stream, and close it at the end."""
    conn, response = single.open(
        "POST", "/v1/chat/completions", completion(prompt, 5000, stream=True)
    )
    with closing(conn), response:
        response.readline()
        yield


def pause_engine(single: Single, statsd: StatsdServer) -> None:
    """Make an engine pause in a stream until its connection is suspected."""
    engine = f"{MODEL}-1"
    with stream(single, "be slow"):
        set_behaviour(single.cluster.servers[engine].address, slow_factor=1000.0)
        suspected = (f"silence.doubted.{engine}", "c")
        wait_until(lambda: suspected in statsd.received, "the connection is suspected")
        set_behaviour(single.cluster.servers[engine].address, slow_factor=1.0)


def test_listed_metrics_by_server_are_sent(tmp_path: Path) -> None:
    # Guards against metrics that are listed on the operators' page but not sent. Servers answer,
    # pause, refuse, fail, break the connection and stop, and a caller disconnects.
    answered: set[str] = set()

    def answer(request: RawRequest) -> bytes:
        if request.line in answered:
            # Ends the call with the second attempt. A short deadline could expire before the first
            # attempt on a busy machine.
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        answered.add(request.line)
        if "/refuse" in request.line:
            return b"HTTP/1.1 503 Full\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n"
        if "/v1/chat" in request.line:
            return b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
        return b""

    statsd = StatsdServer()
    with Single(
        tmp_path, settings={"statsd": statsd.address, "options": {"silence_s": 0.5}}
    ) as single:
        single.cluster.publish(
            {
                "/services/raw": {"kind": "plain", "slots": 4},
                "/services/gone": {"kind": "plain", "slots": 4},
                "/services/raw-model": {"kind": "model", "slots": 4, "models": [RAW_MODEL]},
            }
        )
        single.wait_server(f"{MODEL}-1")
        single.complete("hello", 2, stream=True)
        leave_stream(single, "go on")
        pause_engine(single, statsd)
        with RawServer(answer, RAW_MODEL) as raw:
            single.list_test_server("raw-1", "plain", "raw", raw.address)
            single.list_test_server("raw-2", "engine", "raw-model", raw.address)
            # After its first report, an engine receives only requests for models it has loaded.
            single.wait_report("raw-2")
            single.call("POST", "/services/raw/refuse")
            single.call("POST", "/services/raw/cut", b"x")
            request = completion("hi", 2, stream=True).replace(MODEL, RAW_MODEL, 1)
            single.call("POST", "/v1/chat/completions", request)

        # Waits for a server and is assigned to the first listed one before a probe of it.
        waiting = threading.Thread(
            target=single.call,
            args=("GET", "/services/gone/any"),
            kwargs={"headers": {"Turmericweir-Deadline-Ms": "8000"}},
        )
        waiting.start()
        wait_until(lambda: single.state()["requests"] != {}, "a call waits")
        single.list_test_server("gone-1", "plain", "gone", free_address())
        servers = (f"{MODEL}-1", f"{SERVICE}-1", "raw-1", "raw-2", "gone-1")

        def missing() -> set[tuple[str, str]]:
            sent = {
                (name.removesuffix(server), kind)
                for name, kind in statsd.received
                for server in servers
                if name.endswith(f".{server}")
            }
            return listed_by_server() - sent

        assert len(listed_by_server()) == 10
        wait_until(lambda: not missing(), f"all metrics by server; received {statsd.received}")
        waiting.join()
