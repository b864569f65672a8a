"""Account for each send of a request after its first one.

A request that must not run twice is sent again only if nothing of it was sent before, or if the
server reported that it had not run it. What showed that is logged with each such send.
"""

from __future__ import annotations

from turmericweir_core.base.request import Attempt, Refusal, Request
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.messages.events import EndRefused


def refusal_of(attempt: Attempt, end: EndRefused) -> Refusal:
    """Return the refusal that ended an attempt."""
    return Refusal(
        attempt.server,
        end.status,
        end.names_request,
        attempt.reused_connection,
        attempt.listed_incarnation,
        attempt.process_incarnation,
        attempt.via,
        attempt.connection,
        attempt.connection_age_s,
    )


def note_sent(req: Request, attempt: Attempt) -> list[Effect]:
    """Record where an attempt is sent, and what showed that the one before had not run."""
    is_same_address = attempt.address in req.sent_addresses
    req.sent_addresses.add(attempt.address)
    if req.arrivals == 1:
        return []
    effects: list[Effect] = []
    if is_same_address:
        connection = "kept" if attempt.reused_connection else "new"
        effects.append(Count(f"retry.same_server.{connection}"))
    if req.repeatable:
        return effects
    refusal = req.refusal
    evidence = "none" if refusal is None else "named" if refusal.names_request else "first_answer"
    fields: dict[str, object] = {
        "request_id": req.request_id,
        "attempt_id": attempt.attempt_id,
        "peer": attempt.server,
        "incarnation": attempt.listed_incarnation,
        "process_incarnation": attempt.process_incarnation,
        "via": attempt.via,
        "sends": req.arrivals,
        "same_server": is_same_address,
        "kept_connection": attempt.reused_connection,
        "connection": attempt.connection,
        "connection_age_ms": _ms(attempt.connection_age_s),
        "evidence": evidence,
        "refused_by": None,
        "refused_status": None,
        "refused_on_kept_connection": False,
    }
    if refusal is not None:
        fields |= _refusal_fields(refusal)
    return [*effects, Count(f"retry.unsafe.{evidence}"), Log("sent_again", fields)]


def _refusal_fields(refusal: Refusal) -> dict[str, object]:
    return {
        "refused_by": refusal.server,
        "refused_status": refusal.status,
        "refused_on_kept_connection": refusal.kept_connection,
        "refused_incarnation": refusal.incarnation,
        "refused_process_incarnation": refusal.process_incarnation,
        "refused_via": refusal.via,
        "refused_connection": refusal.connection,
        "refused_connection_age_ms": _ms(refusal.connection_age_s),
    }


def _ms(seconds: float) -> int:
    return round(1000 * seconds)
