"""Merge load updates of one instance that wait together, so that one has the effect of all."""

from __future__ import annotations

from msgspec.structs import replace

from turmericweir_core.messages.load_messages import LoadNews


def merge_updates(one: LoadNews, other: LoadNews) -> LoadNews:
    """Return an update with the newest load, and the prompt parts and observed paces of both."""
    if one.incarnation != other.incarnation:
        # Those of an ended process say nothing of its successor.
        return other
    older, newer = (one, other) if one.seq <= other.seq else (other, one)
    parts = [*older.parts, *newer.parts]
    paces = [*older.paces, *newer.paces]
    if newer.is_complete:
        return replace(newer, parts=parts, paces=paces)
    newer_servers = {row.server for row in newer.rows}
    rows = [row for row in older.rows if row.server not in newer_servers]
    return replace(
        newer,
        rows=[*rows, *newer.rows],
        parts=parts,
        is_complete=older.is_complete,
        paces=paces,
    )
