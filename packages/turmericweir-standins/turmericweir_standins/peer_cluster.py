"""A cluster whose instances reach each other through a separate fault proxy.

All peers of an instance use one route to it; cutting the route blocks its incoming messages. Each
instance sends from a different IP address, which lets the proxy block single senders, such as one
instance or all instances of other data centres.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from turmericweir_standins.deployment import Cluster, Instance, ListedProcess
from turmericweir_standins.procs import Process, call_json, free_address, set_faults, standin


class PeerCluster(Cluster):
    """A cluster with a fault proxy between its instances."""

    peer_proxy: Process

    def _start(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        self.peer_proxy = self._enter_process(
            standin("proxy", directory=self.directory, name="peer-proxy")
        )
        super()._start()

    def _process_settings(self, listed: ListedProcess, admin_address: str) -> dict[str, Any]:
        listen_address = free_address(_host(listed.name))
        routes = [
            {"kind": kind, "listen": listed.peer_address, "target": listen_address}
            for kind in ("tcp", "udp")
        ]
        call_json(self.peer_proxy.address, "POST", "/_standin/routes", {"routes": routes})
        return {
            **super()._process_settings(listed, admin_address),
            "peer_listen_address": listen_address,
        }

    # --- faults ---

    def partition(self, data_centres: Collection[str], *, on: bool = True) -> None:
        """Block the peer messages between these data centres and all others, in both directions."""
        inside = [it for it in self.instances.values() if it.listed.data_centre in data_centres]
        outside = [it for it in self.instances.values() if it not in inside]
        for receivers, senders in ((inside, outside), (outside, inside)):
            sources = [_host(each.name) for each in senders] if on else []
            self._set_peer_faults(receivers, cut_sources=sources)

    def block_incoming(self, name: str, *, on: bool = True) -> None:
        """Block the incoming peer messages of an instance, but not its outgoing ones."""
        self._set_peer_faults([self.instances[name]], cut="both" if on else None)

    def block_outgoing(self, name: str, *, on: bool = True) -> None:
        """Block the outgoing peer messages of an instance, but not its incoming ones."""
        others = [each for each in self.instances.values() if each.name != name]
        self._set_peer_faults(others, cut_sources=[_host(name)] if on else [])

    def silence_peer_connections(self) -> None:
        """Stop all traffic on the present connections between instances, without closing them."""
        set_faults(self.peer_proxy.address, None, silence_existing=True)

    def _set_peer_faults(self, instances: Collection[Instance], **changes: object) -> None:
        routes = [each.listed.peer_address or "" for each in instances]
        if routes:
            set_faults(self.peer_proxy.address, routes, **changes)


def _host(name: str) -> str:
    """Return the IP address from which an instance sends to its peers."""
    return f"127.0.1.{name.rpartition('-')[2]}"
