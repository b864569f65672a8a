"""Parallel test runs on one machine never use the same port."""

from __future__ import annotations

from turmericweir_standins.port_blocks import (
    BLOCK_SIZE,
    FIRST_PORT,
    LAST_PORT,
    PORT_COUNT,
    PortBlocks,
)


def test_two_runs_with_the_same_start_get_different_ports() -> None:
    # Guards against a port that two runs get before one of them has bound it: a process of the
    # other run would fail with "address in use".
    with PortBlocks(7) as first_run, PortBlocks(7) as second_run:
        ports = [each.next_port() for _ in range(BLOCK_SIZE) for each in (first_run, second_run)]
    assert len(set(ports)) == len(ports)


def test_long_run_releases_blocks() -> None:
    # Guards against a run that keeps all blocks reserved after it has used the whole range.
    with PortBlocks(7) as first_run, PortBlocks(7) as second_run:
        ports = [first_run.next_port() for _ in range(PORT_COUNT)]
        assert min(ports) >= FIRST_PORT
        assert max(ports) < LAST_PORT
        assert second_run.next_port() not in ports[-BLOCK_SIZE:]
