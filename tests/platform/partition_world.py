"""A platform world in which a test cuts instances off from the store and from their peers.

They still reach all servers, and callers reach them.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

from tests.platform.partitioned_instance import PEERS_VARIABLE
from tests.platform.platform_world import ROOT, Instance, PlatformWorld
from tests.platform.standin_store import Store
from turmericweir_standins.procs import Process


@dataclass(slots=True)
class PartitionWorld(PlatformWorld):
    """A platform world whose instances have an endpoint of the store and an IP each."""

    _endpoints: dict[str, Store] = field(default_factory=dict)
    _ips: dict[str, str] = field(default_factory=dict)

    def add_instance(self, name: str, *, wait: bool = True, store: str = "") -> Instance:
        """Start an instance that can be cut off."""
        self._endpoints[name] = self.store.second_endpoint()
        self._ips[name] = f"127.0.0.{len(self.running) + 1}"
        address = store or self.open_store(self._endpoints[name])
        self._write_cut_peers(name, [])
        return PlatformWorld.add_instance(self, name, wait=wait, store=address)

    def cut_off(self, *names: str, from_store: bool = True, from_peers: bool = True) -> None:
        """Cut instances off; they still reach each other."""
        for name in names:
            if from_store:
                self._endpoints[name].mode = "silent"
            if from_peers:
                self._write_cut_peers(name, [each for each in self.running if each not in names])
        for name in self.running:
            if from_peers and name not in names:
                self._write_cut_peers(name, names)

    def heal(self) -> None:
        """Restore the paths of all instances."""
        for name in self.running:
            self._endpoints[name].mode = ""
            self._write_cut_peers(name, [])

    def _launch(self, name: str) -> Process:
        env = {
            "TURMERICWEIR_CONFIG": str(self.directory / f"{name}.json"),
            PEERS_VARIABLE: str(self._peers_path(name)),
            "PYTHONPATH": os.pathsep.join([str(ROOT), *sys.path]),
        }
        argv = [sys.executable, "-m", "tests.platform.partitioned_instance"]
        process = Process(argv, name=name, directory=self.directory, env=env)
        process.start()
        return process

    def _peers_path(self, name: str) -> Path:
        return self.directory / f"{name}.peers.json"

    def _write_cut_peers(self, name: str, peers: Collection[str]) -> None:
        path = self._peers_path(name)
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps([self._ips[each] for each in peers]))
        new_path.replace(path)
