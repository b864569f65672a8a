"""The start of the daemon on the platform."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Final

import pytest

from turmericweir.process.entry_settings import EntrySettings
from turmericweir_platform import __main__ as program
from turmericweir_platform import names
from turmericweir_standins.procs import free_address

# What a process needs to be told.
PLACE: Final = {"name": "entry-1", "data_centre": "dc-a", "region": "home"}


def test_callers_wait_for_a_process_that_is_still_loading(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # All instances died together. A caller connects while this one loads its modules: it is not
    # refused, and what it sends is there once the daemon runs.
    address = free_address()
    file = tmp_path / "settings.json"
    named = {each: free_address() for each in ("readiness_address", "peer_address")}
    store = {"address": free_address()}
    file.write_text(json.dumps({**PLACE, **named, "caller_address": address, "store": store}))
    monkeypatch.setenv(names.SETTINGS_VARIABLE, str(file))
    heard: list[bytes] = []

    def run_daemon(
        path: Path, cfg: EntrySettings, callers: socket.socket, stop_asked: Callable[[], bool]
    ) -> int:
        # The platform stops it again while it loads: it is to answer first whoever waits.
        assert not stop_asked()
        os.kill(os.getpid(), signal.SIGTERM)
        assert stop_asked()
        host, _, port = cfg.caller_address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=10) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
            callers.setblocking(True)
            conn, _ = callers.accept()
            with conn:
                heard.append(conn.recv(64))
        return 0

    loading = ModuleType("turmericweir_platform.start")
    vars(loading)["run_daemon"] = run_daemon
    monkeypatch.setitem(sys.modules, loading.__name__, loading)
    before = signal.getsignal(signal.SIGTERM)
    try:
        assert program.main() == 0
    finally:
        signal.signal(signal.SIGTERM, before)
    assert heard == [b"GET / HTTP/1.1\r\n\r\n"]


def test_what_a_start_loads_before_callers_are_listened_for_is_little() -> None:
    # A start takes most of a second on a weak machine, nearly all of it to load modules. Whoever
    # adds one that loads the daemon or its libraries has callers refused for that time.
    loaded = {each.partition(".")[0] for each in _modules_of(program.__name__)}
    assert not loaded & {"anyio", "httpcore", "uvicorn", "eliot", "turmericweir_core"}


def _modules_of(name: str) -> list[str]:
    code = f"import sys, {name}; print(' '.join(sys.modules))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return done.stdout.split()
