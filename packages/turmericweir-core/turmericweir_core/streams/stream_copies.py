"""Keep copies of the bindings of streams at a few peers, where any instance finds them.

The key of a stream names its holders: the instances that follow it on a ring of hashes, one ring
for each data centre. Two in the data centre of the sender hold a copy, so that one that is cut off
from the others knows its own streams, and two elsewhere, for the loss of a whole data centre. A
copy is sent with the first event and is not acknowledged. It goes out before the event does, so a
caller can hardly have an event of which no peer knows.

If an instance starts, restarts or ends, the holders of some streams change. Whoever has a binding
then sends it to the holders that are new.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from itertools import islice, zip_longest
from typing import TYPE_CHECKING, Final

import xxhash

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.release import UNKNOWN_RELEASE, Release
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.stream_messages import StreamRow, StreamsBound
from turmericweir_core.state.stream_state import (
    Holder,
    HolderRing,
    StreamBinding,
    StreamKey,
)

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Copies of a binding, and how many of them the data centre of the sender gets first.
_COPIES: Final = 4
_LOCAL_COPIES: Final = 2
# Positions of an instance on its ring; more of them spread the copies more evenly.
_POSITIONS: Final = 8
_RING_UPDATE_INTERVAL_S: Final = 0.2
# Rows of one datagram.
_ROWS_MAX: Final = 100


# --- holders ---------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Follow the live instances, and send copies to new holders."""
    streams = state.streams
    if now < streams.next_ring_update_at:
        return []
    streams.next_ring_update_at = now + _RING_UPDATE_INTERVAL_S
    holders = frozenset(
        Holder(peer.name, peer.peer_address, peer.data_centre, peer.incarnation)
        for peer in membership.region_instances(state, now)
        if peer.name != state.me.name and not peer.leaving
    )
    if holders == streams.holders:
        return []
    old_holders, old_rings = streams.holders, streams.rings
    streams.holders, streams.rings = holders, _make_rings(holders)
    return _send_to_new_holders(state, now, old_holders, old_rings)


def _make_rings(holders: frozenset[Holder]) -> dict[str, HolderRing]:
    points: dict[str, list[tuple[int, Holder]]] = {}
    for holder in holders:
        for number in range(_POSITIONS):
            position = xxhash.xxh3_64_intdigest(f"{holder.name}\0{number}".encode())
            points.setdefault(holder.data_centre, []).append((position, holder))
    rings = {}
    for data_centre, each in points.items():
        each.sort(key=lambda point: point[0])
        rings[data_centre] = HolderRing(
            tuple(position for position, _ in each), tuple(holder for _, holder in each)
        )
    return rings


def _followers(ring: HolderRing, key: StreamKey) -> Iterator[Holder]:
    """Yield the holders of a ring from the position of a key on, each once."""
    first = bisect_right(ring.positions, key)
    seen: set[InstanceName] = set()
    for step in range(len(ring.holders)):
        holder = ring.holders[(first + step) % len(ring.holders)]
        if holder.name not in seen:
            seen.add(holder.name)
            yield holder


def copy_holders(rings: dict[str, HolderRing], data_centre: str, key: StreamKey) -> list[Holder]:
    """Return the peers to which an instance of a data centre sends the binding of a stream."""
    return list(islice(_copy_order(rings, data_centre, key), _COPIES))


def _copy_order(rings: dict[str, HolderRing], data_centre: str, key: StreamKey) -> Iterator[Holder]:
    """Yield some local instances, then the first of each other data centre, then the others."""
    local = _followers(rings[data_centre], key) if data_centre in rings else iter(())
    yield from islice(local, _LOCAL_COPIES)
    others = sorted(each for each in rings if each != data_centre)
    turn = key % max(1, len(others))
    remote = [_followers(rings[each], key) for each in (*others[turn:], *others[:turn])]
    for place in zip_longest(*remote):
        yield from (holder for holder in place if holder is not None)
    yield from local


def lookup_holders(
    rings: dict[str, HolderRing], key: StreamKey, count_by_centre: int
) -> list[Holder]:
    """Return the peers that may hold the binding of a stream: some of each data centre."""
    return [
        holder
        for ring in rings.values()
        for holder in islice(_followers(ring, key), count_by_centre)
    ]


# --- copies ----------------------------------------------------------------------------------


def send_copies(state: State, now: float, key: StreamKey) -> list[Effect]:
    """Send the binding of a stream to its holders."""
    message = StreamsBound([row_of(now, key, state.streams.by_key[key])])
    holders = copy_holders(state.streams.rings, state.me.data_centre, key)
    writer = state.streams.writer
    if writer is not None and writer not in holders:
        holders.append(writer)
    return [SendDatagram(holder.name, holder.address, message) for holder in holders]


def row_of(now: float, key: StreamKey, binding: StreamBinding) -> StreamRow:
    """Return a binding as it is sent to peers."""
    return StreamRow(key, binding.release, max(1, round(binding.expires_at - now)))


def _send_to_new_holders(
    state: State, now: float, old_holders: frozenset[Holder], old_rings: dict[str, HolderRing]
) -> list[Effect]:
    """Send bindings to the peers that hold them now, unless they held them before."""
    data_centre = state.me.data_centre
    rows: dict[Holder, list[StreamRow]] = {}
    for key, binding in state.streams.by_key.items():
        if binding.expires_at < now:
            continue
        before = set(copy_holders(old_rings, data_centre, key)) & old_holders
        for holder in copy_holders(state.streams.rings, data_centre, key):
            if holder not in before:
                rows.setdefault(holder, []).append(row_of(now, key, binding))
    return [effect for holder, each in rows.items() for effect in send_rows(holder, each)]


def send_rows(holder: Holder, rows: list[StreamRow]) -> list[Effect]:
    """Send bindings to a peer, some in each datagram."""
    return [
        SendDatagram(holder.name, holder.address, StreamsBound(rows[first : first + _ROWS_MAX]))
        for first in range(0, len(rows), _ROWS_MAX)
    ]


def binding_of(now: float, sender: InstanceName, row: StreamRow) -> StreamBinding:
    """Return the binding that a peer sent."""
    release = Release(row.release) if row.release else UNKNOWN_RELEASE
    return StreamBinding(release, now + max(0, row.keep_s), sender)
