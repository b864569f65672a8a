"""What operators are told to look for at their statsd server is what the daemon sends."""

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
    """Gathers the names and kinds of what is sent to it."""

    def __init__(self) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self.seen: set[tuple[str, str]] = set()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while data := self._sock.recv(65_536):
            lines = data.decode().split("\n")
            matches = [LINE.fullmatch(line) for line in lines]
            assert all(matches), lines
            self.seen.update((each[1], each[2]) for each in matches if each)


def listed_by_server() -> set[tuple[str, str]]:
    """Read from the operators' page what is sent by server: names and kinds."""
    section = PAGE.read_text().partition("### By server")[2].partition("###")[0]
    rows = [line.split("|") for line in section.splitlines() if line.startswith("| `")]
    return {
        (name, KINDS[row[2].strip()])
        for row in rows
        for name in re.findall(r"`([a-z_.]+\.)SERVER`", row[1])
    }


def leave_stream(single: Single, prompt: str) -> None:
    """Begin a stream and leave it after its first line."""
    with stream(single, prompt):
        pass


@contextmanager
def stream(single: Single, prompt: str) -> Iterator[None]:
    """Begin a stream, and leave it at the end."""
    conn, response = single.open(
        "POST", "/v1/chat/completions", completion(prompt, 5000, stream=True)
    )
    with closing(conn), response:
        response.readline()
        yield


def go_silent(single: Single, statsd: StatsdServer) -> None:
    """Let an engine pause in a stream until its connection is doubted."""
    engine = f"{MODEL}-1"
    with stream(single, "be slow"):
        set_behaviour(single.cluster.servers[engine].address, slow_factor=1000.0)
        doubted = (f"silence.doubted.{engine}", "c")
        wait_until(lambda: doubted in statsd.seen, "the connection is doubted")
        set_behaviour(single.cluster.servers[engine].address, slow_factor=1.0)


def test_all_that_is_listed_by_server_is_sent(tmp_path: Path) -> None:
    # Servers answer, pause, refuse, fail, cut the connection and die, and a caller leaves. Each of
    # these is counted or timed under the name on the operators' page, with the name of the server.
    answered: set[str] = set()

    def answer(request: RawRequest) -> bytes:
        if request.line in answered:
            # The caller's wait ends with the second attempt, so it takes no short deadline, which
            # on a busy machine could pass before the first.
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
        go_silent(single, statsd)
        with RawServer(answer, RAW_MODEL) as raw:
            single.list_raw("raw-1", "plain", "raw", raw.address)
            single.list_raw("raw-2", "engine", "raw-model", raw.address)
            # From its report on, an engine gets only requests for what it says that it has loaded.
            single.wait_report("raw-2")
            single.call("POST", "/services/raw/refuse")
            single.call("POST", "/services/raw/cut", b"x")
            request = completion("hi", 2, stream=True).replace(MODEL, RAW_MODEL, 1)
            single.call("POST", "/v1/chat/completions", request)

        # Waits for a server and is bound to the first that the list names, before a probe of it.
        waiting = threading.Thread(
            target=single.call,
            args=("GET", "/services/gone/any"),
            kwargs={"headers": {"Turmericweir-Deadline-Ms": "8000"}},
        )
        waiting.start()
        wait_until(lambda: single.state()["requests"] != {}, "a call waits")
        single.list_raw("gone-1", "plain", "gone", free_address())
        servers = (f"{MODEL}-1", f"{SERVICE}-1", "raw-1", "raw-2", "gone-1")

        def missing() -> set[tuple[str, str]]:
            sent = {
                (name.removesuffix(server), kind)
                for name, kind in statsd.seen
                for server in servers
                if name.endswith(f".{server}")
            }
            return listed_by_server() - sent

        assert len(listed_by_server()) == 10
        wait_until(lambda: not missing(), f"all metrics by server; seen {statsd.seen}")
        waiting.join()
