"""Tests of a start while another process or connection has an address of the instance."""

from __future__ import annotations

import os
import signal
import socket
from concurrent.futures import ThreadPoolExecutor
from math import inf
from pathlib import Path
from typing import Final

import pytest

from tests.platform.platform_world import Instance, PlatformWorld, call, until
from tests.platform.taken_address import (
    can_listen,
    is_shared,
    outgoing_connections,
    take_by_ended_connection,
    taken,
    taken_by_connection,
)
from turmericweir_standins.procs import Process, free_address

NEEDED_ADDRESSES: Final = {
    "callers": ("caller_address", socket.SOCK_STREAM),
    "readiness": ("readiness_address", socket.SOCK_STREAM),
    "peers": ("peer_address", socket.SOCK_STREAM),
    "datagrams": ("peer_address", socket.SOCK_DGRAM),
}


def _wait_for_line(instance: Instance, event: str) -> None:
    until(
        lambda: bool(instance.logged(event)) or not instance.process.is_running,
        f"the process logs {event} or ends",
    )
    assert instance.process.is_running, instance.process.stderr_text()


@pytest.mark.parametrize("name", NEEDED_ADDRESSES)
def test_start_waits_for_an_address_that_it_needs(tmp_path: Path, name: str) -> None:
    # Guards against a process that ends because one of its addresses is taken for a moment.
    field, kind = NEEDED_ADDRESSES[name]
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.stop_instance("entry-1")
        cfg = world.settings_of("entry-1")
        with taken(cfg[field], kind):
            world.start_instance("entry-1")
            _wait_for_line(instance, "start_waiting")
            others = {"caller_address", "readiness_address", "admin_address"} - {field}
            assert all(can_listen(cfg[each]) for each in others)
        until(instance.is_ready, "the instance is ready")
        assert world.send_safe().status == 200


@pytest.mark.parametrize("name", ["operators", "metrics"])
def test_callers_are_served_while_an_address_of_operations_is_taken(
    tmp_path: Path, name: str
) -> None:
    # Guards against a process that ends, or serves nobody, for an address callers do not need.
    with PlatformWorld(tmp_path, metrics=True) as world:
        instance = world.running["entry-1"]
        world.stop_instance("entry-1")
        address = world.metrics_address
        path = "/metrics"
        if name == "operators":
            address, path = world.settings_of("entry-1")["admin_address"], "/state"
        with taken(address):
            world.start_instance("entry-1")
            _wait_for_line(instance, "port_unavailable")
            until(instance.is_ready, "the instance is ready")
            assert world.send_safe().status == 200
            assert [line["peer"] for line in instance.logged("port_unavailable")][:1] == [address]
        until(lambda: bool(instance.logged("port_available")), "the port is served")
        assert call(address, "GET", path).status == 200


def test_stop_does_not_wait_for_an_address_of_operations(tmp_path: Path) -> None:
    # Guards against a process that cannot stop while it waits for an address.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.stop_instance("entry-1")
        with taken(world.settings_of("entry-1")["admin_address"]):
            world.start_instance("entry-1")
            _wait_for_line(instance, "port_unavailable")
            instance.process.terminate()
            assert instance.process.wait(20) == 0


@pytest.mark.parametrize("name", ["callers", "readiness", "peers"])
def test_start_waits_for_the_end_of_a_connection_that_has_its_address(
    tmp_path: Path, name: str
) -> None:
    # Guards against a process that ends because the system gave its port to a connection.
    field, _ = NEEDED_ADDRESSES[name]
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.stop_instance("entry-1")
        # Connections of the earlier process count as taking its addresses here; new ones do not.
        address = free_address()
        world.write_settings("entry-1", **{field: address})
        with taken_by_connection(address):
            world.start_instance("entry-1")
            _wait_for_line(instance, "start_waiting")
        until(lambda: bool(instance.logged("ready")), "the instance is ready")


def test_start_waits_while_an_ended_connection_has_its_address(tmp_path: Path) -> None:
    # Guards against a process that ends within the TIME_WAIT state of a connection on its port.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.stop_instance("entry-1")
        address = free_address()
        world.write_settings("entry-1", caller_address=address)
        take_by_ended_connection(address)
        world.start_instance("entry-1")
        _wait_for_line(instance, "start_waiting")
        line = instance.logged("start_waiting")[0]
        assert address in line["error"]
        # The system keeps the state for 60 s.
        assert line["limit_s"] > 60
        instance.process.terminate()
        assert instance.process.wait(20) == 0


@pytest.mark.parametrize("grace_s", [-1_000.0, "inf"])
def test_start_waits_a_usable_time_for_an_address_with_any_grace(
    tmp_path: Path, grace_s: float | str
) -> None:
    # Guards against a start that tries once, or waits without an end, for want of a usable bound.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.stop_instance("entry-1")
        cfg = world.settings_of("entry-1")
        world.write_settings("entry-1", bounds={**cfg["bounds"], "grace_s": grace_s})
        with taken(cfg["caller_address"]):
            world.start_instance("entry-1")
            _wait_for_line(instance, "start_waiting")
            assert 0 < instance.logged("start_waiting")[0]["limit_s"] < inf
            instance.process.terminate()
            assert instance.process.wait(20) == 0


def test_stop_signal_ends_a_start_that_waits(tmp_path: Path) -> None:
    # Guards against a process that cannot be stopped while it waits for an address.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.stop_instance("entry-1")
        with taken(world.settings_of("entry-1")["caller_address"]):
            world.start_instance("entry-1")
            _wait_for_line(instance, "start_waiting")
            instance.process.terminate()
            assert instance.process.wait(20) == 0
        assert [line["step"] for line in instance.logged("stopped")] == ["listen"]


def test_start_that_waits_reads_corrected_settings(tmp_path: Path) -> None:
    # Guards against waiting on for an address that the settings do not name any more.
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        world.stop_instance("entry-1")
        with taken(instance.caller_address):
            world.start_instance("entry-1")
            _wait_for_line(instance, "start_waiting")
            instance.caller_address = free_address()
            world.write_settings("entry-1", caller_address=instance.caller_address)
            os.kill(instance.process.pid, signal.SIGHUP)
            until(instance.is_ready, "the instance is ready")
            assert world.send_safe().status == 200


def test_successor_serves_only_after_the_earlier_process_has_ended(tmp_path: Path) -> None:
    # Guards against a restart that fails, or serves beside the earlier process, in its grace.
    with PlatformWorld(tmp_path) as world, ThreadPoolExecutor(1) as pool:
        instance = world.running["entry-1"]
        world.set_mode("hold", "lm-1", "lm-2")
        pending_answer = pool.submit(world.send, request_id="t1")
        until(lambda: len(world.runs("t1")) == 1, "the stream runs")
        instance.process.terminate()
        until(lambda: bool(instance.logged("stopping")), "the instance stops")
        earlier = world.start_instance("entry-1")
        _wait_for_line(instance, "start_waiting")
        _check_stopping(instance, earlier)
        # Answered by the earlier process, while the later one waits.
        assert world.send_safe().headers["connection"] == "close"
        assert not instance.logged("starting")
        for name in ("lm-1", "lm-2"):
            world.release_held(name)
        assert not pending_answer.result(20).is_cut
        assert earlier.wait(20) == 0
        until(instance.is_ready, "the later process is ready")
        assert world.send_safe().status == 200


def _check_stopping(instance: Instance, earlier: Process) -> None:
    assert earlier.is_running
    assert instance.readiness_status() == 503


def test_open_connections_of_an_instance_leave_their_ports_to_listeners(tmp_path: Path) -> None:
    # Guards against outgoing connections on whose local ports no process can listen.
    with PlatformWorld(tmp_path, instances=2) as world:
        assert world.send_safe().status == 200
        for instance in world.running.values():
            connections = outgoing_connections(instance.process.pid)
            assert connections
            _check_left_to_listeners(connections)


def test_ended_connections_of_an_instance_leave_their_ports_to_listeners(tmp_path: Path) -> None:
    # Guards against ports that stay taken for the time of TIME_WAIT after a process has ended.
    with PlatformWorld(tmp_path, instances=2) as world:
        assert world.send_safe().status == 200
        process = world.running["entry-1"].process
        connections = outgoing_connections(process.pid)
        assert connections
        process.kill()
        process.wait(20)
        _check_left_to_listeners(connections)


def _check_left_to_listeners(connections: dict[str, str]) -> None:
    blocked = [each for each in connections if not can_listen(each)]
    # Another program on this machine may have the same local port, to another remote address.
    blocked_here = [each for each in blocked if not is_shared(each, connections[each])]
    assert blocked_here == []
    assert len(blocked) < len(connections)
