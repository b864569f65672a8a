"""Go on with requests that take up streams, once it is known which release began these."""

from __future__ import annotations

from typing import assert_never

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.effects import Effect
from turmericweir_core.messages.record_messages import RecordsRead
from turmericweir_core.messages.stream_messages import StreamAsk, StreamsBound, StreamUnknown
from turmericweir_core.requests import lifecycle, unconfirmed_starts
from turmericweir_core.state.state import State
from turmericweir_core.streams import stream_bindings, stream_copies, stream_lookup
from turmericweir_core.streams.stream_lookup import Resolved


def on_message(
    state: State,
    now: float,
    sender: InstanceName,
    message: StreamsBound | StreamAsk | StreamUnknown,
) -> list[Effect]:
    """Process a message of another instance."""
    match message:
        case StreamsBound():
            resolved = stream_lookup.on_bound(state, now, sender, message)
            stops = unconfirmed_starts.stop(state) if message.suspected_servers else []
            return [*stops, *_go_on(state, now, resolved)]
        case StreamAsk():
            return stream_lookup.on_ask(state, now, sender, message)
        case StreamUnknown():
            stream_lookup.on_unknown(state, sender, message)
            return []
        case unreachable:
            assert_never(unreachable)


def on_records_read(state: State, now: float, event: RecordsRead) -> list[Effect]:
    """Take over what the store holds of streams."""
    return _go_on(state, now, stream_lookup.on_records_read(state, now, event))


def on_tick(state: State, now: float) -> list[Effect]:
    """Follow the holders of copies, and end lookups that found nothing."""
    stream_bindings.on_tick(state, now)
    effects = stream_copies.on_tick(state, now)
    resolved, asks = stream_lookup.on_tick(state, now)
    return effects + asks + _go_on(state, now, resolved)


def _go_on(state: State, now: float, resolved: list[Resolved]) -> list[Effect]:
    effects: list[Effect] = []
    for each in resolved:
        effects += lifecycle.on_looked_up(state, now, each.req, each.result)
    return effects
