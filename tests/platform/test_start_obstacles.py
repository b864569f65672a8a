"""Tests of starts beside an obstacle that may pass, or one that cannot."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final

import pytest

from tests.platform.platform_world import Instance, PlatformWorld, until
from turmericweir_standins.procs import Process

NAME: Final = "entry-1"
CANNOT_START: Final = 2


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """A world with one instance, whose process has ended."""
    with PlatformWorld(tmp_path, engines=1, plain_servers=1) as world:
        world.running[NAME].process.stop()
        yield world


def settings_path(world: PlatformWorld) -> Path:
    return world.directory / f"{NAME}.json"


def change_settings(world: PlatformWorld, change: Callable[[dict[str, Any]], None]) -> None:
    """Change the settings file of the instance."""
    path = settings_path(world)
    cfg = json.loads(path.read_text().split("\n", 1)[1])
    change(cfg)
    path.write_text("// made by a test\n" + json.dumps(cfg))


def check_serves(world: PlatformWorld) -> None:
    """Wait until the instance is ready, and send it a request."""
    instance = world.running[NAME]
    until(instance.is_ready, "the instance is ready")
    until(lambda: world.send_safe().status == 200, "a request is served")


def check_refused(instance: Instance, step: str, detail: str) -> None:
    """Wait for the end of a start that fails; check that the log and standard error say why."""
    assert instance.process.wait(30) == CANNOT_START
    instance.process.stop()
    (line,) = instance.logged("start_failed")
    assert (line["step"], line["exit_code"]) == (step, CANNOT_START)
    assert detail in line["detail"]
    assert detail in instance.process.stderr_text()


# --- the settings file ---


def is_waiting(instance: Instance) -> bool:
    if not instance.process.is_running:
        pytest.fail(f"the process ended: {instance.process.stderr_text()}")
    return bool(instance.logged("start_waiting"))


@pytest.mark.parametrize("obstacle", ["absent", "empty", "half written", "not readable"])
def test_settings_file_that_is_not_whole_yet_is_waited_for(
    world: PlatformWorld, obstacle: str
) -> None:
    # Guards against a process that ends because its settings file is being replaced.
    path = settings_path(world)
    text = path.read_text()
    path.unlink()
    if obstacle == "not readable":
        path.mkdir()
    elif obstacle != "absent":
        path.write_text("" if obstacle == "empty" else text[: len(text) // 2])
    world.restart_instance(NAME)
    instance = world.running[NAME]
    until(lambda: is_waiting(instance), "the process waits for its settings")
    if path.is_dir():
        path.rmdir()
    path.write_text(text)
    check_serves(world)
    assert instance.logged("start_continued")


def test_every_part_of_a_settings_file_counts_as_not_whole(world: PlatformWorld) -> None:
    # Guards against taking a half-written file for a wrong one.
    from turmericweir.process.entry_settings import can_become_whole, parse_entry_settings

    text = settings_path(world).read_text()
    for length in range(len(text)):
        assert can_become_whole(parse_entry_settings(text[:length], "file").failure())
    assert parse_entry_settings(text, "file").unwrap().name == NAME


def test_wrong_field_ends_the_start_at_once(world: PlatformWorld) -> None:
    # Guards against waiting for what nobody will change, and against an end that no log explains.
    change_settings(world, lambda cfg: cfg.update(caller_address="nowhere"))
    world.restart_instance(NAME)
    check_refused(world.running[NAME], "validate settings", "caller_address")
    assert not world.running[NAME].logged("start_waiting")


def test_missing_variable_ends_the_start_at_once(tmp_path: Path) -> None:
    # Guards against an end that no log explains.
    env = {"TURMERICWEIR_CONFIG": "", "PYTHONPATH": os.pathsep.join(sys.path)}
    argv = [sys.executable, "-m", "turmericweir_platform"]
    process = Process(argv, name=NAME, directory=tmp_path, env=env)
    process.start()
    check_refused(Instance(NAME, process, "", ""), "find settings", "TURMERICWEIR_CONFIG")


def test_full_standard_error_does_not_keep_a_start_from_its_end(tmp_path: Path) -> None:
    # Guards against a process that hangs, and cannot be stopped, as nobody reads why it ends.
    reader, writer = os.pipe()
    try:
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, b"x")
        os.set_blocking(writer, True)
        process = subprocess.Popen(
            [sys.executable, "-m", "turmericweir_platform"],
            cwd=tmp_path,
            env={"TURMERICWEIR_CONFIG": "", "PYTHONPATH": os.pathsep.join(sys.path)},
            stdout=subprocess.DEVNULL,
            stderr=writer,
        )
        try:
            assert process.wait(30) == CANNOT_START
        finally:
            process.kill()
            process.wait()
    finally:
        os.close(reader)
        os.close(writer)


def test_stop_signal_ends_a_start_that_waits(world: PlatformWorld) -> None:
    # Guards against a process that cannot be stopped while it waits.
    settings_path(world).unlink()
    world.restart_instance(NAME)
    instance = world.running[NAME]
    until(lambda: is_waiting(instance), "the process waits for its settings")
    assert instance.process.stop() == 0
    assert instance.logged("stopped")


def test_first_line_precedes_every_step(world: PlatformWorld) -> None:
    # Guards against a process that ends without a trace in its log.
    change_settings(world, lambda cfg: cfg.update(name=""))
    world.restart_instance(NAME)
    process = world.running[NAME].process
    process.wait(30)
    process.stop()
    assert json.loads(process.lines[0])["event"] == "process_started"


OPTIONAL: Final = ("regions", "admin_address", "seeds", "metrics_port", "machine", "duties")


@pytest.mark.parametrize("is_section", [False, True])
def test_null_stands_for_what_is_not_given(world: PlatformWorld, is_section: bool) -> None:
    # Guards against a process that ends because its platform has no value for a setting.
    def change(cfg: dict[str, Any]) -> None:
        if is_section:
            cfg.update(dict.fromkeys((*OPTIONAL, "bounds", "placement", "answers")))
        else:
            cfg["bounds"].update(drain_ms=None, grace_s=None, strict_revoke=None)
            cfg["machine"] = {"memory_mb": None, "max_fds": None, "processors": None}
            cfg["seeds"] = [None]

    change_settings(world, change)
    world.restart_instance(NAME)
    check_serves(world)


@pytest.mark.parametrize("name", ["name", "caller_address", "store"])
def test_null_for_a_required_setting_ends_the_start_at_once(
    world: PlatformWorld, name: str
) -> None:
    # Guards against a start with a setting that is missing, or an error that does not name it.
    change_settings(world, lambda cfg: cfg.update({name: None}))
    world.restart_instance(NAME)
    check_refused(world.running[NAME], "validate settings", f"{name}`")


# --- bounds ---

BOUNDS: Final[dict[str, dict[str, Any]]] = {
    "zero": {
        "drain_ms": 0,
        "settings_ms": 0,
        "revoke_ms": 0,
        "grace_s": 0,
        "retry_ratio": 0,
        "retry_window_s": 0,
        "retry_burst": 0,
    },
    "short revocation": {"revoke_ms": 700},
    "negative": {
        "drain_ms": -1,
        "settings_ms": -1,
        "revoke_ms": -1,
        "grace_s": -1,
        "retry_ratio": -1,
        "retry_window_s": -1,
        "retry_burst": -1,
    },
    "huge": {
        "drain_ms": 1e300,
        "settings_ms": 1e300,
        "revoke_ms": 1e300,
        "grace_s": 1e300,
        "retry_ratio": 1e300,
        "retry_window_s": 1e300,
        "retry_burst": 1e300,
    },
}


@pytest.mark.parametrize("case", BOUNDS)
def test_bound_that_cannot_be_kept_is_replaced_by_the_closest_one(
    world: PlatformWorld, case: str
) -> None:
    # Guards against a process that never becomes ready, or fails, because of a bound.
    change_settings(world, lambda cfg: cfg["bounds"].update(BOUNDS[case]))
    world.restart_instance(NAME)
    check_serves(world)
    instance = world.running[NAME]
    until(lambda: bool(instance.logged("bound_adjusted")), "the log names the bounds")
    assert {line["bound"] for line in instance.logged("bound_adjusted")} <= BOUNDS[case].keys()
    assert instance.process.stop() == 0
    assert not instance.logged("fault")


def test_bound_that_is_no_number_ends_the_start_at_once(world: PlatformWorld) -> None:
    # Guards against a process that never becomes ready because of a bound.
    change_settings(world, lambda cfg: cfg["bounds"].update(revoke_ms="nan"))
    world.restart_instance(NAME)
    check_refused(world.running[NAME], "validate settings", "revoke_ms")


# --- standard streams and signals ---


@pytest.mark.parametrize("closed", [(0,), (1,), (2,), (0, 1, 2)])
def test_closed_standard_streams_do_not_end_the_start(
    world: PlatformWorld, closed: tuple[int, ...]
) -> None:
    # Guards against a process that needs its streams, or writes its log into a socket.
    path = settings_path(world)
    env = {"TURMERICWEIR_CONFIG": str(path), "PYTHONPATH": os.pathsep.join(sys.path)}
    closing = " ".join(f"{fd}>&-" for fd in closed)
    shell = f'exec "$0" -m turmericweir_platform {closing}'
    argv = ["/bin/sh", "-c", shell, sys.executable]
    instance = world.running[NAME]
    instance.process = Process(argv, name=NAME, directory=world.directory, env=env)
    instance.process.start()
    check_serves(world)
    for fd in closed:
        assert os.readlink(f"/proc/{instance.process.pid}/fd/{fd}") == os.devnull
    assert instance.process.stop() == 0


def test_hangup_is_ignored_before_the_settings_are_read(world: PlatformWorld) -> None:
    # Guards against a signal that ends a process which has written its first line.
    settings_path(world).unlink()
    world.restart_instance(NAME)
    instance = world.running[NAME]
    until(lambda: bool(instance.process.lines) or not instance.process.is_running, "a line")
    os.kill(instance.process.pid, signal.SIGHUP)
    until(lambda: is_waiting(instance), "the process waits for its settings")
    assert instance.process.stop() == 0


# --- the settings file of a process that runs ---


def test_settings_file_that_was_half_written_at_a_reload_is_read_again(
    world: PlatformWorld,
) -> None:
    # Guards against a change that is missed: both writes have the same time of modification.
    world.restart_instance(NAME)
    check_serves(world)
    instance = world.running[NAME]
    path = settings_path(world)
    text = path.read_text()
    path.write_text(text[: len(text) // 2])
    os.utime(path, (1_000, 1_000))
    until(lambda: bool(instance.logged("reload_failed")), "the half-written file is read")
    other = world.directory / "other.json"
    other.write_text(text.replace('"retry_ratio": 20', '"retry_ratio": 21'))
    os.utime(other, (1_000, 1_000))
    other.rename(path)
    until(
        lambda: any(line["bounds"]["retry_ratio"] == 21 for line in instance.logged("reloaded")),
        "the whole file is read",
    )
    assert len(instance.logged("reload_failed")) == 1
