"""A cluster whose instances speak to each other through a fault proxy of their own.

There is one route to each instance, which all its peers use, so nothing comes in to an instance
whose route is cut. Each instance speaks from an IP of its own, by which the proxy tells senders
apart: so data centres can be parted while the instances of each still hear one another, and an
instance can hear the others and not be heard.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from turmericweir_standins.deployment import Cluster, Instance, Listed
from turmericweir_standins.procs import Process, call_json, free_address, set_faults, standin


class PeerCluster(Cluster):
    """Instances with a proxy between them."""

    peer_proxy: Process

    def _start(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        self.peer_proxy = self._enter(standin("proxy", directory=self.directory, name="peer-proxy"))
        super()._start()

    def _process_settings(self, listed: Listed, admin_address: str) -> dict[str, Any]:
        inside = free_address(_host(listed.name))
        routes = [
            {"kind": kind, "listen": listed.peer_address, "target": inside}
            for kind in ("tcp", "udp")
        ]
        call_json(self.peer_proxy.address, "POST", "/_standin/routes", {"routes": routes})
        return {**super()._process_settings(listed, admin_address), "peer_listen_address": inside}

    # --- faults ---

    def part(self, data_centres: Collection[str], *, on: bool = True) -> None:
        """Part these data centres from all others, both ways."""
        inside = [it for it in self.instances.values() if it.listed.data_centre in data_centres]
        outside = [it for it in self.instances.values() if it not in inside]
        for here, there in ((inside, outside), (outside, inside)):
            sources = [_host(each.name) for each in there] if on else []
            self._peer_faults(here, cut_sources=sources)

    def deafen(self, name: str, *, on: bool = True) -> None:
        """Let nothing of the others come in to an instance, which they still hear."""
        self._peer_faults([self.instances[name]], cut="both" if on else None)

    def mute(self, name: str, *, on: bool = True) -> None:
        """Let nothing that an instance begins to say come in to others, which it still hears."""
        others = [each for each in self.instances.values() if each.name != name]
        self._peer_faults(others, cut_sources=[_host(name)] if on else [])

    def silence_peers(self) -> None:
        """Let the connections of this moment between instances go silent for good."""
        set_faults(self.peer_proxy.address, None, silence_existing=True)

    def _peer_faults(self, instances: Collection[Instance], **changes: object) -> None:
        routes = [each.listed.peer_address or "" for each in instances]
        if routes:
            set_faults(self.peer_proxy.address, routes, **changes)


def _host(name: str) -> str:
    """Give the IP from which an instance speaks to its peers."""
    return f"127.0.1.{name.rpartition('-')[2]}"
