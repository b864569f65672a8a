"""Marks that a backend server is leaving or drained: what makes leaving monotonic.

A mark names a server and its incarnation. Once made it is never taken back, so an older list, an
older report or a peer that lags cannot bring a leaving server back. A new incarnation is another
key, and starts without a mark.

Marks may be dropped only when no source can contradict them any more. Each carries the time since
somebody last saw the server leaving; whoever still holds it as leaving makes the mark young again,
and one that nobody renews goes at the same age on all instances.
"""

from __future__ import annotations

import xxhash
from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.options import Options


class LeavingMark(Struct):
    """One server of one incarnation gets no new work."""

    server: ServerName
    # Empty where nothing has told it yet.
    incarnation: str
    # By an operator's order rather than by the server's own end.
    drained: bool
    # When it came to be known here, and when the server was last seen leaving by anyone.
    noted_at: float
    seen_at: float


class LeavingMarks(Struct):
    """All marks, by server and incarnation."""

    by_key: dict[tuple[ServerName, str], LeavingMark] = field(default_factory=dict)
    # The incarnations that are marked, by server.
    incarnations: dict[ServerName, list[str]] = field(default_factory=dict)
    # Sum of the hashes of all marks, so that two instances can compare theirs.
    digest: int = 0


def note_mark(
    marks: LeavingMarks,
    options: Options,
    seen_at: float,
    now: float,
    server: ServerName,
    incarnation: str,
    drained: bool,
) -> bool:
    """Add a mark or renew it; tell whether it says anything new."""
    if now - seen_at > options.mark_keep_s:
        return False
    known = marks.by_key.get((server, incarnation))
    if known is None:
        _add(marks, LeavingMark(server, incarnation, drained, now, seen_at))
        _bound(marks, options)
        return True
    known.seen_at = max(known.seen_at, seen_at)
    if drained and not known.drained:
        marks.digest ^= _hash(known)
        known.drained = True
        known.noted_at = now
        marks.digest ^= _hash(known)
        return True
    return False


def marks_on(marks: LeavingMarks, server: ServerName) -> list[LeavingMark]:
    """List the marks on all incarnations of a server."""
    return [marks.by_key[server, it] for it in marks.incarnations.get(server, ())]


def expire_marks(marks: LeavingMarks, options: Options, now: float) -> None:
    """Let go of marks that nobody has renewed for long."""
    for mark in list(marks.by_key.values()):
        if now - mark.seen_at > options.mark_keep_s:
            _drop(marks, mark)


def hot_marks(marks: LeavingMarks, options: Options, now: float) -> list[LeavingMark]:
    """List the marks that are news, newest first."""
    hot = [mark for mark in marks.by_key.values() if now - mark.noted_at <= options.mark_hot_s]
    return sorted(hot, key=lambda mark: -mark.noted_at)


def _add(marks: LeavingMarks, mark: LeavingMark) -> None:
    marks.by_key[mark.server, mark.incarnation] = mark
    marks.incarnations.setdefault(mark.server, []).append(mark.incarnation)
    marks.digest ^= _hash(mark)


def _drop(marks: LeavingMarks, mark: LeavingMark) -> None:
    del marks.by_key[mark.server, mark.incarnation]
    left = marks.incarnations[mark.server]
    left.remove(mark.incarnation)
    if not left:
        del marks.incarnations[mark.server]
    marks.digest ^= _hash(mark)


def _bound(marks: LeavingMarks, options: Options) -> None:
    while len(marks.by_key) > options.mark_keep:
        _drop(marks, min(marks.by_key.values(), key=lambda mark: mark.seen_at))


def _hash(mark: LeavingMark) -> int:
    text = f"{mark.server}\0{mark.incarnation}\0{int(mark.drained)}"
    return xxhash.xxh32_intdigest(text.encode())
