"""Test that statements of servers are heeded in any mixture, under random trouble.

`NOTICE_SEEDS=1-50` plays other seeds than the few that CI plays.
"""

from __future__ import annotations

import os

import pytest

from tests.core.server_fleet import ServerFleet

ROUNDS = 30


def seeds() -> range:
    first, _, last = os.environ.get("NOTICE_SEEDS", "1-4").partition("-")
    return range(int(first), int(last or first) + 1)


class Trouble:
    """Random changes of servers, instances, links and the store."""

    def __init__(self, fleet: ServerFleet, names: list[str]) -> None:
        self.fleet = fleet
        self.names = names
        self.paused: str | None = None

    def change_servers(self) -> None:
        """Change what some server states."""
        rng = self.fleet.rng
        server = self.fleet.servers[rng.choice(sorted(self.fleet.servers))]
        match rng.randrange(5):
            case 0:
                server.limit_s = rng.choice([None, 0.0, 0.5, 1.7, 6.0, 20.0])
            case 1:
                server.refused_share, server.pause_s = rng.choice([0.0, 0.3, 1.0]), 3.0
            case 2:
                server.is_leaving = True
            case 3:
                self.fleet.restart_server(server.name)
            case _:
                pass

    def change_instances(self, round_number: int) -> None:
        """Restart, pause, resume or cut an instance, or take the store away."""
        fleet, rng = self.fleet, self.fleet.rng
        name = rng.choice(self.names)
        match rng.randrange(6):
            case 0 if name != self.paused:
                fleet.restart(name, f"b{round_number}")
            case 1 if self.paused is None:
                self.paused = name
                fleet.pause(name)
                fleet.disturb(name)
            case 2:
                fleet.passes = lambda sender, receiver: name not in (sender, receiver)
                fleet.disturb(name)
            case 3:
                fleet.passes = lambda sender, receiver: True
            case 4:
                fleet.store.answers = rng.choice([lambda name: True, lambda name: False])
            case _:
                if self.paused is not None:
                    fleet.resume(self.paused)
                    fleet.disturb(self.paused)
                    self.paused = None


@pytest.mark.parametrize("seed", seeds())
def test_statements_of_servers_are_heeded(seed: int) -> None:
    """Guards against a mixture of statements and trouble in which one of them is lost."""
    fleet = ServerFleet(5, seed=seed)
    names = fleet.start(8)
    trouble = Trouble(fleet, names)
    for round_number in range(ROUNDS):
        trouble.change_servers()
        if fleet.rng.random() < 0.4:
            trouble.change_instances(round_number)
        fleet.send(names, 60.0, 0.5 + fleet.rng.random())
    assert fleet.violations() == []
