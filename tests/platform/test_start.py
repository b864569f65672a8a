"""Tests of the startup of the daemon on the platform."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from types import ModuleType
from typing import Final

import pytest

from turmericweir.process.entry_settings import EntrySettings
from turmericweir.process.entry_sockets import EntrySockets
from turmericweir.process.process_signals import ProcessSignals
from turmericweir_platform import __main__ as program
from turmericweir_platform import platform_names
from turmericweir_standins.procs import free_address

IDENTITY: Final = {"name": "entry-1", "data_centre": "dc-a", "region": "home"}


def test_callers_wait_during_imports(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against refusing callers that connect while the modules are imported.
    address = free_address()
    file = tmp_path / "settings.json"
    addresses = {each: free_address() for each in ("readiness_address", "peer_address")}
    store = {"address": free_address()}
    file.write_text(
        json.dumps({**IDENTITY, **addresses, "caller_address": address, "store": store})
    )
    monkeypatch.setenv(platform_names.SETTINGS_VARIABLE, str(file))
    received: list[bytes] = []

    def run_daemon(
        path: Path, cfg: EntrySettings, sockets: EntrySockets, signals: ProcessSignals
    ) -> int:
        # A stop signal during imports must not reset the waiting connections.
        assert not signals.is_stop_requested()
        os.kill(os.getpid(), signal.SIGTERM)
        assert signals.is_stop_requested()
        host, _, port = cfg.caller_address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=10) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
            sockets.callers.setblocking(True)
            conn, _ = sockets.callers.accept()
            with conn:
                received.append(conn.recv(64))
        return 0

    fake_module = ModuleType("turmericweir_platform.start")
    vars(fake_module)["run_daemon"] = run_daemon
    monkeypatch.setitem(sys.modules, fake_module.__name__, fake_module)
    signums = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    previous_handlers = {each: signal.getsignal(each) for each in signums}
    try:
        assert program.main() == 0
    finally:
        for signum, handler in previous_handlers.items():
            signal.signal(signum, handler)
    assert received == [b"GET / HTTP/1.1\r\n\r\n"]


def test_settings_file_that_never_comes_ends_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    # Guards against a process that waits for ever, and against an end that no log explains.
    monkeypatch.setenv(platform_names.SETTINGS_VARIABLE, str(tmp_path / "absent.json"))
    monkeypatch.setattr(program, "_SETTINGS_WAIT_S", 0.2)
    previous_handler = signal.getsignal(signal.SIGTERM)
    try:
        assert program.main() == 2
    finally:
        signal.signal(signal.SIGTERM, previous_handler)
    output = capfd.readouterr()
    lines = [json.loads(line) for line in output.out.splitlines()]
    assert [line["event"] for line in lines] == ["start_waiting", "start_failed"]
    assert "absent.json" in output.err


def test_address_that_stays_in_use_ends_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    # Guards against a start that waits forever, or ends without a word.
    address = free_address()
    file = tmp_path / "settings.json"
    addresses = {each: free_address() for each in ("readiness_address", "peer_address")}
    store = {"address": free_address()}
    file.write_text(
        json.dumps({**IDENTITY, **addresses, "caller_address": address, "store": store})
    )
    monkeypatch.setenv(platform_names.SETTINGS_VARIABLE, str(file))
    # The first failure is later than that.
    monkeypatch.setattr(program, "_ADDRESS_WAIT_S", float("-inf"))
    previous_handler = signal.getsignal(signal.SIGTERM)
    host, _, port = address.rpartition(":")
    try:
        with socket.create_server((host, int(port))):
            assert program.main() == 2
    finally:
        signal.signal(signal.SIGTERM, previous_handler)
    output, error = capfd.readouterr()
    line = json.loads(output.splitlines()[-1])
    assert (line["event"], line["exit_code"]) == ("start_failed", 2)
    for text in (line["detail"], error):
        assert f"listen for callers with {address}: Address already in use" in text


def test_few_modules_are_imported_before_listening() -> None:
    # Guards against imports that delay listening for callers.
    loaded = {each.partition(".")[0] for each in _modules_loaded_by(program.__name__)}
    assert not loaded & {"anyio", "httpcore", "uvicorn", "eliot", "turmericweir_core"}


def _modules_loaded_by(name: str) -> list[str]:
    code = f"import sys, {name}; print(' '.join(sys.modules))"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return result.stdout.split()
