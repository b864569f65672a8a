"""Notices that a backend server is leaving or drained, which make leaving monotonic.

A notice names a server and its incarnation and is never revoked, so an outdated list, an outdated
report or a peer that lags cannot reactivate a leaving server. A new incarnation has another key and
starts without a notice.

A notice may be deleted only when no source can contradict it any more. It contains the time when
any instance last saw the server leaving. An instance that still sees it leaving renews the notice.
A notice that is not renewed expires at the same age on all instances.
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


def record_notice(
    notices: LeavingNotices,
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
    notice = notices.by_key.get((server, incarnation))
    if notice is None:
        _add_notice(notices, LeavingNotice(server, incarnation, drained, now, seen_at))
        _evict_excess(notices, options)
        return True
    notice.seen_at = max(notice.seen_at, seen_at)
    if drained and not notice.is_drained:
        notices.digest ^= _hash_of_notice(notice)
        notice.is_drained = True
        notice.noted_at = now
        notices.digest ^= _hash_of_notice(notice)
        return True
    return False


def notices_on(notices: LeavingNotices, server: ServerName) -> list[LeavingNotice]:
    """Return the notices on all incarnations of a server."""
    return [
        notices.by_key[server, incarnation] for incarnation in notices.incarnations.get(server, ())
    ]


def expire_notices(notices: LeavingNotices, options: Options, now: float) -> None:
    """Delete notices that have not been renewed within their retention time."""
    for notice in list(notices.by_key.values()):
        if now - notice.seen_at > options.mark_keep_s:
            _remove_notice(notices, notice)


def recent_notices(notices: LeavingNotices, options: Options, now: float) -> list[LeavingNotice]:
    """Return the notices that are recent enough to be sent to peers, newest first."""
    recent = [
        notice for notice in notices.by_key.values() if now - notice.noted_at <= options.mark_hot_s
    ]
    return sorted(recent, key=lambda notice: -notice.noted_at)


def _add_notice(notices: LeavingNotices, notice: LeavingNotice) -> None:
    notices.by_key[notice.server, notice.incarnation] = notice
    notices.incarnations.setdefault(notice.server, []).append(notice.incarnation)
    notices.digest ^= _hash_of_notice(notice)


def _remove_notice(notices: LeavingNotices, notice: LeavingNotice) -> None:
    del notices.by_key[notice.server, notice.incarnation]
    incarnations = notices.incarnations[notice.server]
    incarnations.remove(notice.incarnation)
    if not incarnations:
        del notices.incarnations[notice.server]
    notices.digest ^= _hash_of_notice(notice)


def _evict_excess(notices: LeavingNotices, options: Options) -> None:
    while len(notices.by_key) > options.mark_keep:
        _remove_notice(notices, min(notices.by_key.values(), key=lambda notice: notice.seen_at))


def _hash_of_notice(notice: LeavingNotice) -> int:
    text = f"{notice.server}\0{notice.incarnation}\0{int(notice.is_drained)}"
    return xxhash.xxh32_intdigest(text.encode())
