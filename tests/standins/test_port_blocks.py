"""Test runs at the same time on one machine never give the same port to their children."""

from __future__ import annotations

from turmericweir_standins.port_blocks import (
    BLOCK_SIZE,
    FIRST_PORT,
    LAST_PORT,
    PORT_COUNT,
    PortBlocks,
)


def test_two_runs_that_search_at_the_same_place_give_different_ports() -> None:
    # Both runs ask for the ports of a cluster before any of its processes has bound its own. With a
    # port in common, one process of one run would end with "address in use" instead of starting.
    with PortBlocks(7) as one, PortBlocks(7) as other:
        ports = [each.next_port() for _ in range(BLOCK_SIZE) for each in (one, other)]
    assert len(set(ports)) == len(ports)


def test_long_run_leaves_blocks_to_others() -> None:
    # A run that has gone once through the whole range lets go of what it took first.
    with PortBlocks(7) as one, PortBlocks(7) as other:
        ports = [one.next_port() for _ in range(PORT_COUNT)]
        assert min(ports) >= FIRST_PORT
        assert max(ports) < LAST_PORT
        assert other.next_port() not in ports[-BLOCK_SIZE:]
