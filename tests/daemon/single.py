"""One entry instance and a few backend servers for the tests of the daemon."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import sys
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

from turmericweir_standins.deployment import (
    OPERATOR,
    OPERATOR_TOKEN,
    BackendGroup,
    Cluster,
    Deployment,
    ListedProcess,
    digest_of_token,
    token_of,
)
from turmericweir_standins.procs import Process, call_json, free_address, wait_until
from turmericweir_standins.record import read_records

CUSTOMER: Final = "shop-1"
OTHER_CUSTOMER: Final = "shop-2"
MODEL: Final = "lm"
SERVICE: Final = "shop"
# The timeout of sockets, which no successful test reaches.
SOCKET_TIMEOUT_S: Final = 20.0

RULES: Final = (
    {"method": "POST", "path_prefix": "/reserve", "repeatable": False},
    {"method": "POST", "path_prefix": "/check", "repeatable": True},
)


def deployment(engines: int = 1, services: int = 1, policy: str = "counts") -> Deployment:
    """Return a deployment of backend servers in one data centre, without entry instances."""
    return Deployment(
        name="single",
        region="home",
        data_centres=("dc-1",),
        instances=0,
        groups=(
            BackendGroup(MODEL, "model", engines, 8, models=(MODEL,)),
            BackendGroup(SERVICE, "plain", services, 8, rules=RULES),
        ),
        classes={
            "quick": {"priority": 0, "first_token_target_ms": 590, "default_deadline_ms": 20000}
        },
        customers={CUSTOMER: {"*": "quick"}, OTHER_CUSTOMER: {"*": "quick"}},
        policy=policy,
    )


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer to a caller."""

    status: int
    # Names in lower case.
    headers: dict[str, str]
    body: bytes

    # Any: the JSON depends on the path.
    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


class Single:
    """The servers of a cluster and one entry instance with settings of the test."""

    cluster: Cluster
    process: Process
    address: str
    admin_address: str

    def __init__(
        self,
        directory: Path,
        backends: Deployment | None = None,
        *,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        self._directory = directory
        self._settings = dict(settings or {})
        self.cluster = Cluster(backends or deployment(), directory)
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        with self._stack:
            self._stack.enter_context(self.cluster)
            self.address = free_address()
            self.admin_address = free_address()
            self.process = self._make_process()
            self._stack.enter_context(self.process)
            wait_until(self.ready, "the instance is ready")
            self._stack = self._stack.pop_all()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    def _make_process(self) -> Process:
        value = {
            "name": "entry-1",
            "data_centre": "dc-1",
            "region": "home",
            "caller_address": self.address,
            "admin_address": self.admin_address,
            "admin_tokens": [{"name": OPERATOR, "token_sha256": digest_of_token(OPERATOR_TOKEN)}],
            "peer_address": free_address(),
            "platform": {"address": self.cluster.platform.address},
            "stop_grace_s": 0.2,
            "seed": 1,
            **self._settings,
        }
        path = self._directory / "entry-1.json"
        path.write_text(json.dumps(value))
        return daemon(path, self._directory)

    def ready(self) -> bool:
        """Return whether the instance reports that it is ready."""
        return call_json(self.admin_address, "GET", "/readyz").status == 200

    def wait_server(self, name: str) -> None:
        """Wait until the instance has a backend server in its state."""
        wait_until(lambda: name in self.state()["servers"]["by_name"], f"{name} is known")

    # Any: the dump has the structure of the daemon's state.
    def state(self) -> Any:
        """Return the state dump."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return call_json(self.admin_address, "GET", "/state", headers=headers).body

    def list_test_server(self, name: str, kind: str, service: str, address: str) -> None:
        """Add a server of the test to the list and wait until the instance has read it."""
        self.cluster.list_process(ListedProcess(name, kind, service, "dc-1", address))
        self.wait_server(name)

    def wait_report(self, name: str) -> None:
        """Wait until the instance has received a load report of a backend server."""
        wait_until(
            lambda: self.state()["servers"]["by_name"][name]["report"] is not None,
            f"{name} has reported",
        )

    def records(self, name: str, event: str) -> list[dict[str, Any]]:
        """Return the records of one event kind that a backend server has written."""
        records = read_records(self.cluster.record_path(name))
        return [each for each in records if each["event"] == event]

    # Calls.

    def open(
        self,
        method: str,
        path: str,
        body: bytes | str | None = None,
        *,
        customer: str | None = CUSTOMER,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        """Send a request and return the connection and the head of the answer."""
        conn = http.client.HTTPConnection(self.address, timeout=SOCKET_TIMEOUT_S)
        all_headers = dict(headers or {})
        if customer is not None:
            all_headers["Authorization"] = f"Bearer {token_of(customer)}"
        conn.request(method, path, body, all_headers)
        return conn, conn.getresponse()

    def call(
        self,
        method: str,
        path: str,
        body: bytes | str | None = None,
        *,
        customer: str | None = CUSTOMER,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send a request and return the complete answer."""
        conn, response = self.open(method, path, body, customer=customer, headers=headers)
        with contextlib.closing(conn):
            lower_headers = {name.lower(): value for name, value in response.getheaders()}
            return Reply(response.status, lower_headers, response.read())

    def complete(self, content: str, max_tokens: int, *, stream: bool) -> Reply:
        """Request a completion and return the complete answer."""
        return self.call("POST", "/v1/chat/completions", completion(content, max_tokens, stream))


def completion(content: str, max_tokens: int, stream: bool) -> str:
    """Return the body of a completion request."""
    value = {
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return json.dumps(value)


def daemon(path: Path, directory: Path) -> Process:
    """Return the daemon's process, which is not started."""
    argv = [sys.executable, "-m", "turmericweir.main", "--config", str(path)]
    return Process(argv, name="entry-1", directory=directory)


# --- reading streams ---------------------------------------------------------------------------


def events_of(body: bytes) -> list[bytes]:
    """Return the complete events of a stream."""
    return body.split(b"\n\n")[:-1]


def texts_of(body: bytes) -> list[str]:
    """Return the token texts of a stream."""
    texts = []
    for event in events_of(body):
        if event.startswith(b"data: {"):
            chunk = json.loads(event.removeprefix(b"data: "))
            texts.append(chunk["choices"][0]["delta"]["content"])
    return texts


# Any: the fields of the outcome event.
def outcome_of(body: bytes) -> Any:
    """Return the fields of a stream's outcome event, which must occur once."""
    prefix = b"event: turmericweir.outcome\ndata: "
    outcomes = [each for each in events_of(body) if each.startswith(prefix)]
    assert len(outcomes) == 1, body
    return json.loads(outcomes[0].removeprefix(prefix))


# --- backend servers of a test -------------------------------------------------------------------

LOAD: Final = {
    "name": "raw",
    "incarnation": "1",
    "seq": 1,
    "running": 0,
    "waiting": 0,
    "slots": 8,
    "limit": 8,
    "leaving": False,
}


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as received by a server."""

    line: str
    # Names in lower case.
    headers: dict[str, str]
    body: bytes


class RawServer:
    """Answers load probes itself and other requests with the test's bytes, then closes."""

    address: str
    # Received requests other than load probes.
    requests: list[RawRequest]
    # Replaces the incarnation in its load reports if it is not empty.
    incarnation: str

    def __init__(self, answer: Callable[[RawRequest], bytes], model: str = MODEL) -> None:
        self._answer = answer
        # The model that it reports as loaded.
        self._model = model
        self.requests = []
        self.incarnation = ""
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        # Closing alone does not wake the thread from `accept`.
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        self._thread.join(SOCKET_TIMEOUT_S)

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(target=self._handle, args=(conn,), daemon=True).start()

    def _handle(self, conn: socket.socket) -> None:
        conn.settimeout(SOCKET_TIMEOUT_S)
        with conn, conn.makefile("rb") as stream:
            line = stream.readline().decode().strip()
            headers = {}
            while (header_line := stream.readline().decode().strip()) != "":
                name, _, value = header_line.partition(":")
                headers[name.lower()] = value.strip()
            body = stream.read(int(headers.get("content-length", "0")))
            conn.sendall(self._answer_to(RawRequest(line, headers, body)))

    def _answer_to(self, request: RawRequest) -> bytes:
        if request.line.startswith("GET /v1/load "):
            report = {**LOAD, "models": [self._model]}
            if self.incarnation:
                report["incarnation"] = self.incarnation
            body = json.dumps(report).encode()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.requests.append(request)
        return self._answer(request)
