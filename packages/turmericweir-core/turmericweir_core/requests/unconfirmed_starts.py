"""Stop attempts that go on with a stream at a server that may have started again meanwhile.

An attempt is placed by the entry of a server, and connects a moment later. If the server breaks
other streams off in between, the connection may be to its next start, with other software.
"""

from __future__ import annotations

from turmericweir_core.base.request import CancelReason
from turmericweir_core.messages.effects import Effect
from turmericweir_core.placement.dispatch import cancel
from turmericweir_core.state.state import State
from turmericweir_core.streams import stream_bindings


def stop(state: State) -> list[Effect]:
    """Stop the attempts without an event whose servers are not known to have the release."""
    effects: list[Effect] = []
    for req in state.requests.values():
        attempt = req.attempt
        if attempt is None or req.release is None or attempt.first_token_at is not None:
            continue
        if (
            attempt.process_incarnation
            and attempt.process_incarnation == attempt.listed_incarnation
        ):
            # It was asked on the connection of the attempt.
            continue
        server = state.servers.by_name.get(attempt.server)
        if server is not None and not stream_bindings.has_release(state, server, req.release):
            effects += cancel(req, CancelReason.MOVED)
    return effects
