"""Start stand-ins and daemons as child processes, for tests, the demo and measurements.

A child prints a line `READY name address` when it serves, and `Process` waits for this line. The
timeouts only end a run that hangs. A thread reads the standard output of each child; the standard
error goes to a file, since a full pipe would block the child.

`call_json` and `set_behaviour` are the blocking calls with which tests control a stand-in.
"""

from __future__ import annotations

import http.client
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import IO, Any, Final, Self

import orjson

from turmericweir_standins.port_blocks import PORT_COUNT, PortBlocks

READY_WORD: Final = "READY"
READY_TIMEOUT_S: Final = 30.0
LINE_TIMEOUT_S: Final = 30.0
STOP_GRACE_S: Final = 10.0
CALL_TIMEOUT_S: Final = 10.0
POLL_S: Final = 0.01
LOOPBACK: Final = "127.0.0.1"

# Parallel test runs start their search at different blocks, which avoids failed attempts.
_port_blocks: Final = PortBlocks(os.getpid())


class ProcessError(Exception):
    """Report that a child process failed at a step."""

    def __init__(self, name: str, step: str, detail: str) -> None:
        super().__init__(f"process {name}, step {step}: {detail}")
        # The name of the child.
        self.name = name
        # The step that failed.
        self.step = step


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = LINE_TIMEOUT_S) -> None:
    """Poll a condition until it is true; raise TimeoutError after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not seen in {timeout_s} s: {what}")
        time.sleep(POLL_S)


def free_port(host: str = LOOPBACK) -> int:
    """Return a port that is free for TCP and UDP and that no parallel run has reserved."""
    for _ in range(PORT_COUNT):
        port = _port_blocks.next_port()
        if _is_free(host, port, socket.SOCK_STREAM) and _is_free(host, port, socket.SOCK_DGRAM):
            return port
    raise OSError(f"no free port on {host} among {PORT_COUNT}")


def free_address(host: str = LOOPBACK) -> str:
    """Return `host:port` with a free port."""
    return f"{host}:{free_port(host)}"


def _is_free(host: str, port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        if kind is socket.SOCK_STREAM:
            # Servers set it too; a port with connections in TIME_WAIT counts as free.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
        return True


class Process:
    """One child process: started on entry, awaited until it is ready, stopped on exit."""

    # The name in errors and in the name of the standard error's file.
    name: str
    # The command line.
    argv: list[str]
    # The file to which the child's standard error is appended.
    stderr_path: Path
    # The addresses of the READY lines by their names, in the order of the lines.
    addresses: dict[str, str]
    # All lines of the child's standard output until now.
    lines: list[str]

    def __init__(
        self,
        argv: Sequence[str],
        *,
        name: str,
        directory: Path | str,
        env: Mapping[str, str] | None = None,
        ready_timeout_s: float = READY_TIMEOUT_S,
        stop_grace_s: float = STOP_GRACE_S,
    ) -> None:
        self.name = name
        self.argv = list(argv)
        self.stderr_path = Path(directory) / f"{name}.stderr"
        self.addresses = {}
        self.lines = []
        self._env = {**os.environ, "PYTHONUNBUFFERED": "1", **(env or {})}
        self._ready_timeout_s = ready_timeout_s
        self._stop_grace_s = stop_grace_s
        self._popen: subprocess.Popen[str] | None = None
        self._reader: threading.Thread | None = None
        # Guards `lines`, `addresses` and `_ended`, and is notified when one of them changes.
        self._changed = threading.Condition()
        # Whether the child's standard output has ended.
        self._output_ended = False

    # Start and stop.

    def __enter__(self) -> Self:
        self.start()
        try:
            self.wait_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    def start(self) -> None:
        """Start the child without waiting for it."""
        if self._popen is not None:
            raise ProcessError(self.name, "start", "the process was already started")
        self.stderr_path.parent.mkdir(parents=True, exist_ok=True)
        with self.stderr_path.open("ab") as stderr:
            self._popen = subprocess.Popen(
                self.argv,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stderr,
                env=self._env,
                text=True,
            )
        assert self._popen.stdout is not None
        self._reader = threading.Thread(
            target=self._read,
            args=(self._popen.stdout,),
            name=f"stdout of {self.name}",
            daemon=True,
        )
        self._reader.start()

    def stop(self) -> int | None:
        """Stop the child with SIGTERM, and with SIGKILL after the grace period."""
        if self._popen is None:
            return None
        if self.is_running:
            # A paused child would not receive SIGTERM.
            self.resume()
            self.terminate()
        try:
            code = self._popen.wait(self._stop_grace_s)
        except subprocess.TimeoutExpired:
            self.kill()
            code = self._popen.wait()
        if self._reader is not None:
            self._reader.join()
        if self._popen.stdout is not None:
            self._popen.stdout.close()
        return code

    # Output of the child.

    @property
    def address(self) -> str:
        """The address of the first READY line, as `ip:port`."""
        with self._changed:
            for address in self.addresses.values():
                return address
        raise ProcessError(self.name, "address", "the process has not printed a READY line")

    @property
    def port(self) -> int:
        """The port of the first READY line."""
        return int(self.address.rpartition(":")[2])

    def wait_ready(self, ready_name: str | None = None) -> str:
        """Wait for the first READY line, or for the one of a name, and return its address."""
        is_ready = self._wait_for(
            lambda: ready_name in self.addresses if ready_name else bool(self.addresses),
            self._ready_timeout_s,
        )
        if not is_ready:
            raise ProcessError(self.name, "ready", self._describe_failure())
        return self.addresses[ready_name] if ready_name else self.address

    def wait_line(self, is_wanted: Callable[[str], bool], timeout_s: float = LINE_TIMEOUT_S) -> str:
        """Wait for a matching line of standard output and return the first one."""
        if not self._wait_for(lambda: any(map(is_wanted, self.lines)), timeout_s):
            raise ProcessError(self.name, "line", self._describe_failure())
        with self._changed:
            return next(line for line in self.lines if is_wanted(line))

    def stderr_text(self) -> str:
        """Return the child's standard error until now."""
        return self.stderr_path.read_text(encoding="utf-8", errors="replace")

    # Signals.

    @property
    def pid(self) -> int:
        """The process id of the child."""
        return self._child("pid").pid

    @property
    def is_running(self) -> bool:
        """Whether the child was started and has not ended; a paused child counts as running."""
        return self._popen is not None and self._popen.poll() is None

    def pause(self) -> None:
        """Stop the child with SIGSTOP and wait until the system shows it as stopped."""
        child = self._child("pause")
        child.send_signal(signal.SIGSTOP)
        # Prevents a child that still answers after `pause` has returned: the signal is delivered
        # asynchronously. WNOWAIT leaves the exit status to `wait`.
        options = os.WSTOPPED | os.WEXITED | os.WNOWAIT
        os.waitid(os.P_PID, child.pid, options)

    def resume(self) -> None:
        """Resume a paused child."""
        self._child("resume").send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM to the child, which requests a graceful stop."""
        self._child("terminate").terminate()

    def kill(self) -> None:
        """Send SIGKILL to the child, which ends it like a crash."""
        self._child("kill").kill()

    def wait(self, timeout_s: float | None = STOP_GRACE_S) -> int:
        """Wait for the end of the child and return its exit code; negative for a signal."""
        try:
            return self._child("wait").wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessError(
                self.name, "wait", f"the process still runs after {timeout_s} s"
            ) from None

    # Internals.

    def _child(self, step: str) -> subprocess.Popen[str]:
        if self._popen is None:
            raise ProcessError(self.name, step, "the process was not started")
        return self._popen

    def _read(self, stdout: IO[str]) -> None:
        for line in stdout:
            with self._changed:
                self._add_line(line.rstrip("\n"))
                self._changed.notify_all()
        with self._changed:
            self._output_ended = True
            self._changed.notify_all()

    def _add_line(self, line: str) -> None:
        self.lines.append(line)
        words = line.split()
        if len(words) == 3 and words[0] == READY_WORD:
            self.addresses[words[1]] = words[2]

    def _wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        with self._changed:
            while not condition():
                left_s = deadline - time.monotonic()
                if self._output_ended or left_s <= 0:
                    return False
                self._changed.wait(left_s)
            return True

    def _describe_failure(self) -> str:
        state = "the standard output ended" if self._output_ended else "the safety timeout expired"
        return f"{state}; standard error ends with:\n{self.stderr_text()[-2000:]}"


def standin(
    module: str,
    *args: str,
    directory: Path | str,
    name: str | None = None,
    env: Mapping[str, str] | None = None,
) -> Process:
    """Return the process of a stand-in, by its module of this package, not yet started."""
    argv = [sys.executable, "-m", f"turmericweir_standins.{module}", *args]
    return Process(argv, name=name or module, directory=directory, env=env)


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """The answer to one call."""

    status: int
    # Header values by lower-case name.
    headers: dict[str, str]
    # Any: the decoded JSON; None for an empty body.
    body: Any


def call_json(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> JsonAnswer:
    """Make one call on a new connection; without an answer, raise the error of `http.client`."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else orjson.dumps(body)
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        conn.request(method, path, data, all_headers)
        response = conn.getresponse()
        text = response.read()
        all_headers = {name.lower(): value for name, value in response.getheaders()}
        return JsonAnswer(response.status, all_headers, orjson.loads(text) if text else None)
    finally:
        conn.close()


# Any: the table differs by stand-in.
def set_behaviour(address: str, **changes: object) -> dict[str, Any]:
    """Change entries of a stand-in's table of behaviours and return the whole table."""
    answer = call_json(address, "POST", "/_standin/behaviour", changes)
    if answer.status != 200 or not isinstance(answer.body, dict):
        raise ValueError(f"the stand-in at {address} refused {changes}: {answer.body}")
    return answer.body


def set_faults(proxy: str, routes: Sequence[str] | None, **changes: object) -> None:
    """Change the faults of some routes of the proxy, or of all; they are in force on return."""
    query = "" if routes is None else "?route=" + ",".join(routes)
    answer = call_json(proxy, "POST", f"/_standin/behaviour{query}", changes)
    if answer.status != 200:
        raise ValueError(f"the proxy at {proxy} refused {changes}: {answer.body}")


def add_route(proxy: str, target: str, kind: str = "tcp", listen: str = f"{LOOPBACK}:0") -> str:
    """Add a route to the proxy and return the address on which it listens."""
    spec = {"kind": kind, "listen": listen, "target": target}
    answer = call_json(proxy, "POST", "/_standin/routes", {"routes": [spec]})
    if answer.status != 200:
        raise ValueError(f"the proxy at {proxy} refused the route {spec}: {answer.body}")
    return str(answer.body["routes"][-1]["listen"])
