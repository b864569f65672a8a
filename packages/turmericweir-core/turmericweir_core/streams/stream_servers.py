"""The servers that may go on with a request's stream.

A stream whose events the caller has goes on only at servers of its release, wherever they are: also
outside the subset that this instance uses, in another data centre, or by way of a peer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmericweir_core.base.ids import Target
from turmericweir_core.base.release import Release, release_of
from turmericweir_core.base.request import Request
from turmericweir_core.membership.subset import open_servers, without_unproven
from turmericweir_core.state.outlier_state import without_ejected
from turmericweir_core.state.server_table import Server, servers_for
from turmericweir_core.streams.stream_bindings import has_release

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def open_servers_for(state: State, now: float, req: Request) -> list[Server]:
    """Return the servers that may receive a request now."""
    if req.release is None:
        return open_servers(state, now, req.target)
    servers = [
        server
        for server in servers_for(state.servers, req.target, now)
        if has_release(state, server, req.release)
    ]
    return without_ejected(state.outliers, without_unproven(servers))


def can_run_on(state: State, req: Request, server: Server) -> bool:
    """Return whether a server may go on with the stream of a request."""
    return req.release is None or has_release(state, server, req.release)


def is_in_service(state: State, target: Target, release: Release) -> bool:
    """Return whether a server of a release is listed for a target and does not leave.

    True as well while this instance has not read the list of servers.
    """
    if state.servers.listed_at is None and not state.servers.by_name:
        return True
    return any(
        server.serves(target) and release_of(server.entry) == release
        for server in state.servers.by_name.values()
        if not (server.leaving or server.drained)
    )


def describe_versions(state: State) -> dict[str, dict[str, dict[str, int]]]:
    """Return the software versions of each service for the state dump.

    A version may be switched off once it has no streams: they go on at no other one.
    """
    services: dict[str, dict[str, dict[str, int]]] = {}
    for server in state.servers.by_name.values():
        versions = services.setdefault(server.entry.service, {})
        counts = versions.setdefault(
            server.entry.software_version, {"servers": 0, "leaving": 0, "running_here": 0}
        )
        counts["servers"] += 1
        counts["leaving"] += server.leaving or server.drained
        counts["running_here"] += len(server.in_flight)
    return services
