"""Spread notices of leaving or drained backend servers, so that no instance sends them work.

An instance that learns from the platform's list, the server's own report, a refusal or an operator
that a server is leaving creates a leaving notice. New notices go with the heartbeats and reach the
whole region within seconds, even when the platform's list is down or stale. Every heartbeat carries
a digest of all notices; an instance whose digest differs for some time requests all of them.

`leaving_notices` and `server_table.apply_notices` prevent an older list or report from returning a
server to service.
"""

from __future__ import annotations

from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import Effect, Log, SendPeer
from turmericweir_core.messages.membership_messages import Heartbeat, Mark, MarksAsk, MarksSend
from turmericweir_core.state.leaving_notices import (
    LeavingNotice,
    expire_notices,
    recent_notices,
    record_notice,
)
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.server_table import Server, apply_notices
from turmericweir_core.state.state import State


def create_leaving_notices(state: State, now: float) -> list[Effect]:
    """Create or renew the notices of all servers that this instance itself sees leaving."""
    effects: list[Effect] = []
    for server in state.servers.by_name.values():
        if server.leaving or server.drained or server.entry.leaving:
            effects += _create_notices(state, now, server)
    return effects


def _create_notices(state: State, now: float, server: Server) -> list[Effect]:
    effects: list[Effect] = []
    if server.entry.leaving and not server.has_outlived_entry:
        effects += _record_notice(state, now, server, server.entry.incarnation, drained=False)
    report = server.report
    incarnation = server.entry.incarnation if report is None else report.incarnation
    notice = state.servers.leaving_notices.by_key.get((server.entry.name, incarnation))
    is_announced = server.has_announced_leaving or (report is not None and report.leaving)
    # A report with the incarnation of the notice confirms it, so it may be renewed.
    is_renewed = notice is not None and not notice.is_drained and report is not None
    if is_announced or is_renewed:
        effects += _record_notice(state, now, server, incarnation, drained=False)
    if server.drained and (report is not None or not _has_notice(state, server)):
        effects += _record_notice(state, now, server, incarnation, drained=True)
    return effects


def _has_notice(state: State, server: Server) -> bool:
    return server.entry.name in state.servers.leaving_notices.incarnations


def _record_notice(
    state: State, now: float, server: Server, incarnation: str, *, drained: bool
) -> list[Effect]:
    name = server.entry.name
    is_new = record_notice(
        state.servers.leaving_notices, state.options, now, now, name, incarnation, drained
    )
    if not is_new:
        return []
    return [Log("server_leaving", {"server": name, "drained": drained, "by": state.me.name})]


def drop_expired_notices(state: State, now: float) -> None:
    """Drop the notices that no instance has renewed for some time."""
    expire_notices(state.servers.leaving_notices, state.options, now)


def notices_to_send(state: State, now: float) -> list[Mark]:
    """Return the notices that go with the next datagram: the new ones, newest first."""
    recent = recent_notices(state.servers.leaving_notices, state.options, now)
    return [_notice_message(notice, now) for notice in recent[: state.options.mark_hot_max]]


def _notice_message(notice: LeavingNotice, now: float) -> Mark:
    age_s = max(0, int(now - notice.seen_at))
    return Mark(notice.server, notice.incarnation, notice.is_drained, age_s)


def take_notices(state: State, now: float, notices: list[Mark]) -> list[Effect]:
    """Record notices received from a peer; the named servers get no new work from now on."""
    effects: list[Effect] = []
    for notice in notices:
        name = ServerName(notice.server)
        # Prevents a negative age from a faulty peer from delaying the expiry of the notice.
        seen_at = now - max(0, notice.age_s)
        if not record_notice(
            state.servers.leaving_notices,
            state.options,
            seen_at,
            now,
            name,
            notice.incarnation,
            notice.drained,
        ):
            continue
        effects.append(Log("server_marked", {"server": name, "drained": notice.drained}))
        server = state.servers.by_name.get(name)
        if server is not None:
            apply_notices(state.servers, server)
    return effects


def compare_notices(state: State, now: float, sender: Member, beat: Heartbeat) -> list[Effect]:
    """Request a peer's notices where the digests have differed for some time."""
    differ_since = state.members.notices_differ_since
    if beat.notices_hash == state.servers.leaving_notices.digest:
        differ_since.pop(sender.name, None)
        return []
    if now - differ_since.setdefault(sender.name, now) < state.options.mark_ask_s:
        return []
    differ_since[sender.name] = now
    return [SendPeer(sender.name, sender.peer_address, MarksAsk())]


def answer_notices(state: State, now: float, sender: Member) -> list[Effect]:
    """Send all notices to a peer that requested them."""
    notices = [
        _notice_message(notice, now) for notice in state.servers.leaving_notices.by_key.values()
    ]
    return [SendPeer(sender.name, sender.peer_address, MarksSend(notices))]
