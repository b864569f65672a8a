"""Notices that a backend server is leaving or drained, which make leaving monotonic.

A notice names a server and its incarnation and is never revoked, so an outdated list, an outdated
report or a peer that lags cannot reactivate a leaving server. A new incarnation has another key and
starts without a notice.

A notice may be deleted only when no source can contradict it any more. It has the time when any
instance last saw the server leaving. An instance that still sees it leaving renews the notice. A
notice that is not renewed expires at the same age on all instances.
"""

from __future__ import annotations

import xxhash
from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.options import Options


class LeavingNotice(Struct):
    """Notice that one incarnation of a server gets no new work."""

    server: ServerName
    # Empty if not known yet.
    incarnation: str
    # An operator drained the server; otherwise the server itself is leaving.
    is_drained: bool
    # When this instance learned of it, and when any instance last saw the server leaving.
    noted_at: float
    seen_at: float


class LeavingNotices(Struct):
    """All leaving notices, by server and incarnation."""

    by_key: dict[tuple[ServerName, str], LeavingNotice] = field(default_factory=dict)
    # Incarnations with a notice, by server.
    incarnations: dict[ServerName, list[str]] = field(default_factory=dict)
    # XOR of the hashes of all notices, for comparison between instances.
    digest: int = 0


def note_notice(
    marks: LeavingNotices,
    options: Options,
    seen_at: float,
    now: float,
    server: ServerName,
    incarnation: str,
    drained: bool,
) -> bool:
    """Add or renew a notice; return whether it is new or changed."""
    if now - seen_at > options.mark_keep_s:
        return False
    mark = marks.by_key.get((server, incarnation))
    if mark is None:
        _add_mark(marks, LeavingNotice(server, incarnation, drained, now, seen_at))
        _evict_excess(marks, options)
        return True
    mark.seen_at = max(mark.seen_at, seen_at)
    if drained and not mark.is_drained:
        marks.digest ^= _hash_of_mark(mark)
        mark.is_drained = True
        mark.noted_at = now
        marks.digest ^= _hash_of_mark(mark)
        return True
    return False


def notices_on(marks: LeavingNotices, server: ServerName) -> list[LeavingNotice]:
    """Return the notices on all incarnations of a server."""
    return [marks.by_key[server, incarnation] for incarnation in marks.incarnations.get(server, ())]


def expire_notices(marks: LeavingNotices, options: Options, now: float) -> None:
    """Delete notices that have not been renewed within their retention time."""
    for mark in list(marks.by_key.values()):
        if now - mark.seen_at > options.mark_keep_s:
            _remove_mark(marks, mark)


def recent_notices(marks: LeavingNotices, options: Options, now: float) -> list[LeavingNotice]:
    """Return the notices that are recent enough to be sent to peers, newest first."""
    recent = [mark for mark in marks.by_key.values() if now - mark.noted_at <= options.mark_hot_s]
    return sorted(recent, key=lambda mark: -mark.noted_at)


def _add_mark(marks: LeavingNotices, mark: LeavingNotice) -> None:
    marks.by_key[mark.server, mark.incarnation] = mark
    marks.incarnations.setdefault(mark.server, []).append(mark.incarnation)
    marks.digest ^= _hash_of_mark(mark)


def _remove_mark(marks: LeavingNotices, mark: LeavingNotice) -> None:
    del marks.by_key[mark.server, mark.incarnation]
    incarnations = marks.incarnations[mark.server]
    incarnations.remove(mark.incarnation)
    if not incarnations:
        del marks.incarnations[mark.server]
    marks.digest ^= _hash_of_mark(mark)


def _evict_excess(marks: LeavingNotices, options: Options) -> None:
    while len(marks.by_key) > options.mark_keep:
        _remove_mark(marks, min(marks.by_key.values(), key=lambda mark: mark.seen_at))


def _hash_of_mark(mark: LeavingNotice) -> int:
    text = f"{mark.server}\0{mark.incarnation}\0{int(mark.is_drained)}"
    return xxhash.xxh32_intdigest(text.encode())
