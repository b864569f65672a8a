"""The paths of this instance to the backend servers: direct, or by way of a peer.

A connection that cannot be opened shows that the path from this instance to the server is down; it
does not show whether the server is. So the instance asks some peers whether they reach the server,
and while one does, connections to the server are opened by way of that peer (`peers.carrier` of the
daemon). Everything else stays here: the choice of the server, retries, limits and the account.
A peer opens such connections only by its own direct path, so there are no circles.

If new connections to two servers fail and nothing is heard of any server since, the network of this
instance is suspected rather than the servers. Then all paths are checked at once, and until a path
is confirmed its server is used by way of a peer only. Prevents a connection timeout for each server
in turn.

A peer that is asked answers from its newest connection to the server, if that was opened after the
path was lost, and otherwise opens one first. Servers that no peer reaches are down; the questions
on them become rare. The direct path is probed all the while, and used again once a probe succeeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import DIRECT, InstanceName, ServerName
from turmericweir_core.base.request import Attempt
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.effects import (
    Effect,
    Log,
    ProbeServer,
    RetireConnections,
    SendDatagram,
)
from turmericweir_core.messages.server_messages import PathsAsk, PathsSend
from turmericweir_core.state import outlier_state, reliability
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.path_state import PeerView, ServerPath
from turmericweir_core.state.server_table import (
    Server,
    note_answered,
    note_suspected,
    note_unreachable,
)
from turmericweir_core.trust import quarantine

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Peers that are asked at a time.
_PEERS_ASKED: Final = 3
# Servers in one question.
_SERVERS_PER_ASK: Final = 48
# Minimum interval between questions, and their intervals soon after a path was lost and later.
_ASK_INTERVAL_MIN_S: Final = 0.02
_ASK_INTERVAL_EARLY_S: Final = 0.1
_ASK_INTERVAL_S: Final = 1.0
_EARLY_S: Final = 1.0
# How long the statement of a peer that it reaches a server is valid, and when it is renewed.
_VIA_VALID_S: Final = 6.0
_VIA_RENEWAL_S: Final = 2.5
# Maximum age of a connection by which a peer answers for a path that was lost earlier.
_EVIDENCE_MAX_S: Final = 3.0
# How long a peer is not used for a server after a connection by way of it failed.
_AVOID_VIA_S: Final = 4.0
# Time for an answer, and how long a peer without one, or without any path, is not asked.
_ANSWER_S: Final = 0.3
_AVOID_PEER_S: Final = 2.0
# How long the result of a probe is sent to a peer that asked for it.
_ASKER_KEEP_S: Final = 1.0
# Interval between questions of several peers that lead to only one probe of a server.
_PROBE_SHARED_S: Final = 0.35
# Two servers that fail within this time make all paths suspect.
_SUSPECT_WINDOW_S: Final = 2.0
_SUSPECT_AFTER_S: Final = 0.04
_SUSPECTS_MAX: Final = 64
# Mean interval between direct probes of a lost path, and between those of all lost paths.
_DIRECT_PROBE_INTERVAL_S: Final = 1.0
_ALL_DIRECT_PROBES_INTERVAL_S: Final = 0.06
_FIRST_DIRECT_PROBE_S: Final = 0.1
# Peers that carry nearly the same number of connections are used alike.
_CARRIED_STEP: Final = 8
_MS: Final = 1000.0


# --- use -------------------------------------------------------------------------------------


def choose_via(state: State, now: float, name: ServerName) -> Member | None:
    """Return the peer by way of which to connect to a server, or None to connect directly."""
    path = state.paths.by_server.get(name)
    if path is None:
        return None
    usable = _usable_peers(state, now, path)
    if not usable:
        return None
    return min(
        usable,
        key=lambda peer: (_carried_by(state, peer) // _CARRIED_STEP, state.rng.random()),
    )


def _carried_by(state: State, peer: Member) -> int:
    view = state.paths.peers.get(peer.name)
    return 0 if view is None else view.carried


def _usable_peers(state: State, now: float, path: ServerPath) -> list[Member]:
    usable = []
    for name, reached_at in path.via.items():
        if now - reached_at > _VIA_VALID_S or now < path.avoided.get(name, 0.0):
            continue
        peer = membership.find_member(state, name)
        if peer is not None and not peer.leaving and membership.is_live(state, now, peer):
            usable.append(peer)
    return usable


def is_lost(state: State, name: ServerName) -> bool:
    """Return whether connections from this instance to a server fail."""
    path = state.paths.by_server.get(name)
    return path is not None and bool(path.error)


def indirect_paths(state: State, now: float) -> dict[str, dict[str, object]]:
    """Return the servers without a direct path, for the state dump."""
    return {
        name: {
            "lost_s": now - path.lost_at,
            "error": path.error,
            "via": [peer.name for peer in _usable_peers(state, now, path)],
        }
        for name, path in state.paths.by_server.items()
    }


# --- results of connections ------------------------------------------------------------------


def note_failed(
    state: State, now: float, name: ServerName, error: str, via: InstanceName = DIRECT
) -> list[Effect]:
    """Record that a new connection to a server failed, directly or by way of a peer."""
    server = state.servers.by_name.get(name)
    path = state.paths.by_server.get(name)
    if server is None:
        return []
    if server.leaving:
        # It gets no new work, and its port closes when it has left.
        note_unreachable(state.servers, state.options, now, name)
        return []
    if via != DIRECT:
        return [] if path is None else _note_via_failed(state, now, server, path, via, error)
    effects: list[Effect] = []
    if path is None or not path.error:
        if path is None:
            path = state.paths.by_server[name] = ServerPath(now)
        path.error = error
        server.restored_at = now
        path.next_probe_at = now + _FIRST_DIRECT_PROBE_S
        effects += [_lost_log(state, name, error), RetireConnections(server.entry.address)]
        effects += _answer_askers(state, now, name, is_reached=False)
        effects += _ask_peers(state, now)
    else:
        path.next_probe_at = now + _direct_probe_interval_s(state)
    if not _usable_peers(state, now, path):
        note_unreachable(state.servers, state.options, now, name)
    return effects


def _lost_log(state: State, name: ServerName, error: str) -> Log:
    fields = {
        "peer": name,
        "error": error,
        "lost": len(state.paths.by_server),
        "servers": len(state.servers.by_name),
    }
    return Log("path_lost", fields)


def _note_via_failed(
    state: State, now: float, server: Server, path: ServerPath, via: InstanceName, error: str
) -> list[Effect]:
    name = server.entry.name
    path.avoided[via] = now + _AVOID_VIA_S
    if path.via.pop(via, None) is None:
        return []
    effects: list[Effect] = [Log("path_lost", {"peer": name, "via": via, "error": error})]
    if not _usable_peers(state, now, path):
        note_unreachable(state.servers, state.options, now, name)
        effects += _ask_peers(state, now)
    return effects


def note_connected(
    state: State, now: float, name: ServerName, via: InstanceName = DIRECT
) -> list[Effect]:
    """Record that a new connection to a server was opened, directly or by way of a peer."""
    if via != DIRECT:
        path = state.paths.by_server.get(name)
        if path is not None and via in path.via:
            path.via[via] = now
        return []
    if name not in state.servers.by_name:
        return []
    state.paths.connected_at[name] = state.paths.heard_at = now
    note_answered(state.servers, name)
    effects = _answer_askers(state, now, name, is_reached=True)
    path = state.paths.by_server.pop(name, None)
    if path is None or not path.error:
        return effects
    state.servers.by_name[name].restored_at = now
    for other in state.paths.by_server.values():
        # The cause may have ended for all paths; spread over some ticks.
        other.next_probe_at = min(other.next_probe_at, now + state.rng.random())
    fields = {
        "peer": name,
        "after_ms": round((now - path.lost_at) * _MS),
        "lost": len(state.paths.by_server),
    }
    return [*effects, Log("path_restored", fields)]


def note_heard(state: State, now: float, attempt: Attempt) -> None:
    """Record that data of a server arrived, which shows that the network works."""
    if attempt.via == DIRECT:
        state.paths.heard_at = now


def _direct_probe_interval_s(state: State) -> float:
    """Return the time until a lost path is probed again; random, to spread the probes."""
    count = len(state.paths.by_server)
    interval_s = max(_DIRECT_PROBE_INTERVAL_S, _ALL_DIRECT_PROBES_INTERVAL_S * count)
    return interval_s * (0.5 + state.rng.random())


def _suspect_all(state: State, now: float) -> list[Effect]:
    """Check the paths to all servers if connections to two failed and nothing was heard since.

    Two servers may crash at once. So there is time for the others to be heard before their paths
    are suspected.
    """
    paths = state.paths
    recent = sorted(
        path.lost_at
        for path in paths.by_server.values()
        if path.error and now - path.lost_at <= _SUSPECT_WINDOW_S
    )
    if len(recent) < 2:
        return []
    first_lost_at = recent[-2]
    if now - first_lost_at < _SUSPECT_AFTER_S or paths.heard_at >= first_lost_at:
        return []
    effects: list[Effect] = []
    for name, server in state.servers.by_name.items():
        if name in paths.by_server or server.leaving or server.drained:
            continue
        if len(effects) >= _SUSPECTS_MAX:
            break
        path = paths.by_server[name] = ServerPath(first_lost_at)
        path.next_probe_at = now + _DIRECT_PROBE_INTERVAL_S
        note_suspected(server, now)
        effects.append(ProbeServer(name, server.entry.address))
    if not effects:
        return []
    log = Log("paths_suspected", {"servers": len(effects)})
    return [log, *effects, *_ask_peers(state, now)]


# --- questions to peers ----------------------------------------------------------------------


def _ask_peers(state: State, now: float) -> list[Effect]:
    """Ask some peers which of the servers without a path they reach."""
    paths = state.paths
    if now < paths.next_ask_at or not paths.by_server:
        return []
    due = [name for name, path in paths.by_server.items() if _is_ask_due(state, now, path)]
    names = sorted(due, key=lambda name: paths.by_server[name].asked_at)[:_SERVERS_PER_ASK]
    peers = _peers_to_ask(state, now)
    if not peers or not names:
        return []
    paths.next_ask_at = now + _ASK_INTERVAL_MIN_S
    for name in names:
        paths.by_server[name].asked_at = now
    lost_s = min(now - paths.by_server[name].lost_at for name in names)
    evidence_ms = round(min(lost_s, _EVIDENCE_MAX_S) * _MS)
    message = PathsAsk(list(names), evidence_ms)
    for peer in peers:
        paths.peers.setdefault(peer.name, PeerView()).asked_at = now
    return [SendDatagram(peer.name, peer.peer_address, message) for peer in peers]


def _is_ask_due(state: State, now: float, path: ServerPath) -> bool:
    """Return whether no peer is known to reach a server, or the statements become old."""
    if not _usable_peers(state, now, path):
        return True
    return now - max(path.via.values()) > _VIA_RENEWAL_S


def _peers_to_ask(state: State, now: float) -> list[Member]:
    """Return the peers to ask: the same ones again while they answer and reach servers."""
    paths = state.paths
    peers = [
        peer
        for peer in membership.region_instances(state, now)
        if peer.name != state.me.name and not peer.leaving
    ]
    for peer in peers:
        view = paths.peers.get(peer.name)
        if view is not None and view.answered_at < view.asked_at < now - _ANSWER_S:
            view.avoided_until = max(view.avoided_until, view.asked_at + _AVOID_PEER_S)

    def order(peer: Member) -> tuple[bool, int]:
        view = paths.peers.get(peer.name)
        is_avoided = view is not None and now < view.avoided_until
        return (is_avoided, rendezvous_weight(state.me.name, peer.name))

    return sorted(peers, key=order)[:_PEERS_ASKED]


def on_ask(state: State, now: float, sender: InstanceName, ask: PathsAsk) -> list[Effect]:
    """Answer which servers this instance reaches, and probe those of which it does not know."""
    paths = state.paths
    peer = membership.find_member(state, sender)
    if peer is None or state.stopping_since is not None:
        return []
    reached: list[str] = []
    lost: list[str] = []
    probes: list[Effect] = []
    for name in map(ServerName, ask.servers[:_SERVERS_PER_ASK]):
        server = state.servers.by_name.get(name)
        if server is None or server.leaving:
            continue
        path = paths.by_server.get(name)
        if path is not None and path.error:
            lost.append(name)
        elif now - paths.connected_at.get(name, 0.0) <= ask.evidence_ms / _MS:
            reached.append(name)
        else:
            paths.askers.setdefault(name, {})[sender] = now
            if now - paths.probed_at.get(name, 0.0) > _PROBE_SHARED_S:
                paths.probed_at[name] = now
                probes.append(ProbeServer(name, server.entry.address))
    if not reached and not lost:
        return probes
    answer = PathsSend(reached, lost, paths.carried)
    return [SendDatagram(sender, peer.peer_address, answer), *probes]


def _answer_askers(state: State, now: float, name: ServerName, *, is_reached: bool) -> list[Effect]:
    """Answer the peers that asked for a server."""
    effects: list[Effect] = []
    reached: list[str] = [name] if is_reached else []
    lost: list[str] = [] if is_reached else [name]
    answer = PathsSend(reached, lost, state.paths.carried)
    for asker, asked_at in state.paths.askers.pop(name, {}).items():
        peer = membership.find_member(state, asker)
        if peer is not None and now - asked_at <= _ASKER_KEEP_S:
            effects.append(SendDatagram(asker, peer.peer_address, answer))
    return effects


def on_send(state: State, now: float, sender: InstanceName, message: PathsSend) -> list[Effect]:
    """Record which servers a peer reaches, and use them by way of it."""
    paths = state.paths
    view = paths.peers.setdefault(sender, PeerView())
    view.answered_at = now
    view.carried = message.carried
    effects: list[Effect] = []
    for name in map(ServerName, message.reached):
        path = paths.by_server.get(name)
        if path is not None:
            effects += _note_via(state, now, name, path, sender)
    if message.lost and not message.reached:
        view.avoided_until = now + _AVOID_PEER_S
    for name in map(ServerName, message.lost):
        path = paths.by_server.get(name)
        if path is not None:
            path.via.pop(sender, None)
    return effects


def _note_via(
    state: State, now: float, name: ServerName, path: ServerPath, peer: InstanceName
) -> list[Effect]:
    had_peers = bool(_usable_peers(state, now, path))
    path.via[peer] = now
    if had_peers or not _usable_peers(state, now, path):
        return []
    note_answered(state.servers, name)
    # What failed was the path, not the server.
    reliability.forget(state.reliability, name)
    outlier_state.forget(state.outliers, name)
    quarantine.retract_recent_crash(state, now, name)
    after_ms = round((now - path.lost_at) * _MS)
    return [Log("path_found", {"peer": name, "via": peer, "after_ms": after_ms})]


# --- ticks -----------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Ask peers again, probe direct paths, and drop what no longer holds."""
    _forget_removed(state)
    paths = state.paths
    if not paths.by_server:
        return []
    effects = _suspect_all(state, now)
    is_early = False
    for name, path in paths.by_server.items():
        server = state.servers.by_name[name]
        is_early = is_early or now - path.lost_at <= _EARLY_S
        if server.unreachable_until:
            # Probed by the instance's own retries of excluded servers.
            continue
        if not _usable_peers(state, now, path):
            note_unreachable(state.servers, state.options, now, name)
        elif now >= path.next_probe_at:
            path.next_probe_at = now + _direct_probe_interval_s(state)
            effects.append(ProbeServer(name, server.entry.address))
    interval_s = _ASK_INTERVAL_EARLY_S if is_early else _ASK_INTERVAL_S
    newest_ask_at = max((view.asked_at for view in paths.peers.values()), default=0.0)
    if now - newest_ask_at >= interval_s:
        effects += _ask_peers(state, now)
    return effects


def _forget_removed(state: State) -> None:
    """Forget the paths to servers that leave or have left."""
    paths = state.paths
    servers = state.servers.by_name
    for by_server in (paths.by_server, paths.connected_at, paths.probed_at, paths.askers):
        for name in [each for each in by_server if each not in servers or servers[each].leaving]:
            del by_server[name]
    if not paths.by_server:
        paths.peers.clear()
