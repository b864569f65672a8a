"""Spread that backend servers leave or are drained, so that no instance gives them new work.

Whoever has it first hand, from the platform's list, the server's own report, a refusal or an
operator, makes a mark. New marks go with the heartbeats, so they are everywhere in the region
within seconds, with the platform's list down or lagging. Digests of all marks go with every
heartbeat; who differs for longer asks for all of them.

What keeps a server from relapsing is in `leaving_marks` and `server_table.apply_marks`.
"""

from __future__ import annotations

from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import Effect, Log, SendPeer
from turmericweir_core.messages.peer_messages import Heartbeat, Mark, MarksAsk, MarksSend
from turmericweir_core.state.leaving_marks import LeavingMark, expire_marks, hot_marks, note_mark
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.server_table import Server, apply_marks
from turmericweir_core.state.state import State


def mark_leavers(state: State, now: float) -> list[Effect]:
    """Mark what this instance has first hand, and renew what it still sees."""
    effects: list[Effect] = []
    for server in state.servers.by_name.values():
        if server.leaving or server.drained or server.entry.leaving:
            effects += _mark_server(state, now, server)
    return effects


def _mark_server(state: State, now: float, server: Server) -> list[Effect]:
    effects: list[Effect] = []
    if server.entry.leaving and not server.outlived_entry:
        effects += _note(state, now, server, server.entry.incarnation, drained=False)
    report = server.report
    incarnation = server.entry.incarnation if report is None else report.incarnation
    marked = state.servers.marks.by_key.get((server.entry.name, incarnation))
    told = server.refused_leaving or (report is not None and report.leaving)
    # Once the report fits the mark there is no doubt whom it means, and it may be renewed.
    renewed = marked is not None and not marked.drained and report is not None
    if told or renewed:
        effects += _note(state, now, server, incarnation, drained=False)
    if server.drained and (report is not None or not _marked_at_all(state, server)):
        effects += _note(state, now, server, incarnation, drained=True)
    return effects


def _marked_at_all(state: State, server: Server) -> bool:
    return server.entry.name in state.servers.marks.incarnations


def _note(
    state: State, now: float, server: Server, incarnation: str, *, drained: bool
) -> list[Effect]:
    name = server.entry.name
    new = note_mark(state.servers.marks, state.options, now, now, name, incarnation, drained)
    if not new:
        return []
    return [Log("server_leaving", {"server": name, "drained": drained, "by": state.me.name})]


def expire(state: State, now: float) -> None:
    """Let go of old marks."""
    expire_marks(state.servers.marks, state.options, now)


def marks_to_pass(state: State, now: float) -> list[Mark]:
    """Pick the marks that go with the next datagram: the news, newest first."""
    hot = hot_marks(state.servers.marks, state.options, now)
    return [_as_message(mark, now) for mark in hot[: state.options.mark_hot_max]]


def _as_message(mark: LeavingMark, now: float) -> Mark:
    age_s = max(0, int(now - mark.seen_at))
    return Mark(mark.server, mark.incarnation, mark.drained, age_s)


def take_marks(state: State, now: float, marks: list[Mark]) -> list[Effect]:
    """Note what peers have marked; from now on these servers get no new work here."""
    effects: list[Effect] = []
    for mark in marks:
        name = ServerName(mark.server)
        # An age that is not one, from a peer in disorder, must not make the mark last for ever.
        seen_at = now - max(0, mark.age_s)
        if not note_mark(
            state.servers.marks, state.options, seen_at, now, name, mark.incarnation, mark.drained
        ):
            continue
        effects.append(Log("server_marked", {"server": name, "drained": mark.drained}))
        server = state.servers.by_name.get(name)
        if server is not None:
            apply_marks(state.servers, server)
    return effects


def compare_digest(state: State, now: float, sender: Member, beat: Heartbeat) -> list[Effect]:
    """Ask a peer for its marks where they have differed for a while."""
    differ = state.members.marks_differ
    if beat.marks_hash == state.servers.marks.digest:
        differ.pop(sender.name, None)
        return []
    if now - differ.setdefault(sender.name, now) < state.options.mark_ask_s:
        return []
    differ[sender.name] = now
    return [SendPeer(sender.name, sender.peer_address, MarksAsk())]


def answer_marks(state: State, now: float, sender: Member) -> list[Effect]:
    """Send all marks to a peer that asked."""
    marks = [_as_message(mark, now) for mark in state.servers.marks.by_key.values()]
    return [SendPeer(sender.name, sender.peer_address, MarksSend(marks))]
