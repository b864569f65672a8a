"""Acquire, renew and release the leases of scopes for this instance.

A scope is wanted only while there are orders to send. To acquire its lease, this instance reads the
stream to its end, waits until the lease of another instance has expired, and appends a grant. It
renews the lease until the scope is no longer wanted, and then releases it. An instance that wants
no scope neither reads nor appends.

Other reducers call `current_lease` right before each order, which is the only check by the holder.
The lease counts from the time at which this instance *sent* its newest record, so a process that
was paused for longer than its lease finds it expired before it can send an order. An append without
an acknowledgement is resolved by reading the stream: the holder finds its record by its number, and
knows when it was sent.

If the stream is keyed (`Options.lease_keyed`), appends are conditional, and an expired lease is
renewed without reading first: the append fails if another instance has written since. A holder
without orders may rest: it lets its lease expire, and neither appends nor reads.
"""

from __future__ import annotations

from turmericweir_core.messages.effects import AppendRecords, Count, Effect, Log, ReadLog
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    LogExpired,
    LogFailed,
    LogNewest,
    LogRead,
    LogRecord,
)
from turmericweir_core.records.lease_record import (
    LEASES_STREAM,
    NO_OFFSET,
    LeaseAction,
    LeaseRecord,
    LeaseScope,
    encode,
)
from turmericweir_core.state.lease_ledger import (
    Lease,
    LeaseFoldResult,
    fold,
    forget_certainty,
    free_at,
    has_all_records,
    start_at_end,
    start_from_newest,
)
from turmericweir_core.state.lease_state import HeldLease, LeaseState, SentBatch
from turmericweir_core.state.state import State

# --- interface for other reducers --------------------------------------------------------------


def request_lease(state: State, now: float, scope: LeaseScope) -> None:
    """Start trying to acquire and keep the lease of a scope."""
    state.leases.wanted.setdefault(scope, now)


def release_lease(state: State, scope: LeaseScope) -> None:
    """Stop wanting the lease of a scope, which releases it."""
    state.leases.wanted.pop(scope, None)
    state.leases.idle_scopes.discard(scope)


def set_idle(state: State, scope: LeaseScope, *, is_idle: bool) -> None:
    """Let a lease expire while there are no orders under it, or resume its renewal."""
    if is_idle:
        state.leases.idle_scopes.add(scope)
    else:
        state.leases.idle_scopes.discard(scope)


def set_note(state: State, now: float, scope: LeaseScope, note: object) -> bool:
    """Write a note for successors with the next renewal; return False unless this is the holder.

    With conditional appends the holder of an expired lease may write as well: the append fails if
    another instance has held the lease since.
    """
    can_append = state.options.lease_keyed and is_own_lease(state, scope)
    if current_lease(state, now, scope) is None and not can_append:
        return False
    state.leases.notes[scope] = note
    return True


def newest_note(state: State, scope: LeaseScope) -> object:
    """Return the note of the newest valid record of a scope, by any instance, or None."""
    lease = state.leases.ledger.leases.get(scope)
    return None if lease is None else lease.note


def current_lease(state: State, now: float, scope: LeaseScope) -> HeldLease | None:
    """Return the lease of a scope if this instance holds it now.

    Prevents a holder that was paused past its lease from sending orders that conflict with its
    successor's. Calling this right before each order is sufficient, as the clock advances during a
    pause.
    """
    lease = state.leases.held_leases.get(scope)
    return lease if lease is not None and now < lease.expires_at else None


def is_own_lease(state: State, scope: LeaseScope) -> bool:
    """Return whether the newest lease of a scope is this instance's, expired or not."""
    lease = state.leases.ledger.leases.get(scope)
    return lease is not None and _can_renew(state, scope, lease)


def known_fence(state: State, scope: LeaseScope) -> int:
    """Return the newest fencing number that this instance knows for a scope."""
    return _fence_for_record(state.leases, scope)


def note_order_sent(state: State, now: float, scope: LeaseScope, token: str) -> None:
    """Record an order under a lease; until its outcome is known the lease is not released.

    A release tells the successor that no order is pending. Without one it waits for the orders of
    the previous holder where servers do not check fencing numbers.
    """
    orders = state.leases.unsettled_orders.setdefault(scope, {})
    orders[token] = now + state.options.order_longest_s


def note_order_settled(state: State, scope: LeaseScope, token: str) -> None:
    """Record that an order has been carried out or refused."""
    state.leases.unsettled_orders.get(scope, {}).pop(token, None)


def drop_lease(state: State, now: float, scope: LeaseScope) -> list[Effect]:
    """Stop using a lease after a server refused an order under it as outdated."""
    lease = state.leases.held_leases.pop(scope, None)
    state.leases.dropped.add(scope)
    # A newer fencing number exists; reading the log finds it.
    state.leases.ledger.caught_up_at = float("-inf")
    state.leases.next_read_at = now
    fields = {"scope": str(scope), "fence": lease.fence if lease else NO_OFFSET}
    return [Count("lease.dropped"), Log("lease_dropped", fields)]


# --- time ------------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Drop expired leases; read and append what is due."""
    leases = state.leases
    _forget_settled(leases, now)
    is_idle = not leases.wanted and not leases.held_leases and not _scopes_to_release(state)
    if is_idle and leases.in_flight is None:
        return []
    effects = _drop_expired(state, now)
    effects += _time_out_append(state, now)
    if any(_must_read(leases, state, scope) for scope in leases.wanted):
        effects += _read_next(state, now) if now >= leases.next_read_at else []
    return effects + _append_due(state, now)


def _forget_settled(leases: LeaseState, now: float) -> None:
    """Forget the orders that cannot take effect any more."""
    for scope, orders in list(leases.unsettled_orders.items()):
        for token, until in list(orders.items()):
            if now >= until:
                del orders[token]
        if not orders:
            del leases.unsettled_orders[scope]


def _must_read(leases: LeaseState, state: State, scope: LeaseScope) -> bool:
    if scope in leases.held_leases:
        return False
    lease = leases.ledger.leases.get(scope)
    can_renew = lease is not None and _can_renew(state, scope, lease)
    return not (state.options.lease_keyed and can_renew)


def _drop_expired(state: State, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for scope, lease in list(state.leases.held_leases.items()):
        if now >= lease.expires_at:
            del state.leases.held_leases[scope]
            if scope in state.leases.idle_scopes:
                continue
            effects += [
                Count("lease.lapsed"),
                Log("lease_lapsed", {"scope": str(scope), "fence": lease.fence}),
            ]
    return effects


def _time_out_append(state: State, now: float) -> list[Effect]:
    """Treat an append as failed if it was not answered in time."""
    batch = state.leases.in_flight
    if batch is None or now - batch.sent_at < state.options.lease_call_s:
        return []
    return on_append(
        state,
        now,
        AppendFailed(LEASES_STREAM, batch.token, "never answered", may_have_applied=True),
    )


# --- appends ---------------------------------------------------------------------------------


def _append_due(state: State, now: float) -> list[Effect]:
    """Append all due records, of all scopes, in one call."""
    leases = state.leases
    if leases.in_flight is not None or now < leases.retry_at:
        return []
    records = _due_records(state, now)
    if not records:
        return []
    token = str(records[0].number)
    # The lease counts from this time, before any part of the record is sent.
    leases.in_flight = SentBatch(token, now, records)
    for record in records:
        leases.record_sent_at[record.number] = now
    while len(leases.record_sent_at) > state.options.lease_sent_max:
        del leases.record_sent_at[next(iter(leases.record_sent_at))]
    values = tuple(encode(record) for record in records)
    if not state.options.lease_keyed:
        return [AppendRecords(LEASES_STREAM, token, values), Count("lease.appends")]
    keys = tuple(str(record.scope) for record in records)
    append = AppendRecords(LEASES_STREAM, token, values, keys, expected_end=leases.ledger.offset)
    return [append, Count("lease.appends")]


def _due_records(state: State, now: float) -> tuple[LeaseRecord, ...]:
    leases = state.leases
    records: list[LeaseRecord] = []
    for scope, lease in list(leases.held_leases.items()):
        if scope not in leases.wanted:
            # The lease is not used from now on, even if the release is lost.
            del leases.held_leases[scope]
            if not leases.unsettled_orders.get(scope):
                records.append(_record(state, LeaseAction.RELEASE, scope, lease.fence))
    for scope in _scopes_to_release(state):
        if all(record.scope != scope for record in records):
            records.append(
                _record(state, LeaseAction.RELEASE, scope, _fence_for_record(leases, scope))
            )
    for scope in leases.wanted:
        action = _due_action(state, now, scope)
        if action is not None:
            records.append(_record(state, action, scope, _fence_for_record(leases, scope)))
    return tuple(records)


def _scopes_to_release(state: State) -> list[LeaseScope]:
    """Return the scopes of this instance's expired leases that are unwanted and not taken over."""
    leases = state.leases
    if not state.options.lease_keyed:
        return []
    return [
        scope
        for scope, lease in leases.ledger.leases.items()
        if scope not in leases.wanted
        and not leases.unsettled_orders.get(scope)
        and _can_renew(state, scope, lease)
    ]


def _fence_for_record(leases: LeaseState, scope: LeaseScope) -> int:
    """Return the fencing number for a record; for a grant, that of the previous lease."""
    held_lease = leases.held_leases.get(scope)
    if held_lease is not None:
        # The ledger may have been reset since, after the log dropped records.
        return held_lease.fence
    ledger_lease = leases.ledger.leases.get(scope)
    return NO_OFFSET if ledger_lease is None else ledger_lease.fence


def _due_action(state: State, now: float, scope: LeaseScope) -> LeaseAction | None:
    """Return the action that is due for a scope, if any."""
    leases = state.leases
    options = state.options
    held_lease = leases.held_leases.get(scope)
    ledger_lease = leases.ledger.leases.get(scope)
    is_note_written = scope not in leases.notes or (
        ledger_lease is not None and ledger_lease.note == leases.notes[scope]
    )
    if is_note_written and scope in leases.idle_scopes:
        return None
    if held_lease is not None:
        renew_at = held_lease.expires_at - options.lease_s + options.lease_renew_s
        return LeaseAction.RENEW if now >= renew_at or not is_note_written else None
    if leases.ledger.start is None:
        return None
    if options.lease_keyed and ledger_lease is not None and _can_renew(state, scope, ledger_lease):
        return LeaseAction.RENEW
    if now - leases.ledger.caught_up_at > 2 * options.lease_read_s:
        # Unread records could make the new record void.
        return None
    if ledger_lease is not None and _can_renew(state, scope, ledger_lease):
        return LeaseAction.RENEW
    margin_s = options.lease_margin_s
    if now < free_at(leases.ledger, scope, options.lease_s, margin_s):
        return None
    return LeaseAction.GRANT


def _can_renew(state: State, scope: LeaseScope, lease: Lease) -> bool:
    """Return whether a lease is this instance's and may be renewed, expired or not."""
    if lease.released or scope in state.leases.dropped:
        return False
    # This instance's record at an uncertain position may follow another instance's grant.
    return lease.is_sure and lease.incarnation == state.me.incarnation


def _record(state: State, action: LeaseAction, scope: LeaseScope, fence: int) -> LeaseRecord:
    leases = state.leases
    leases.number += 1
    note = leases.notes.get(scope, newest_note(state, scope))
    return LeaseRecord(
        act=action,
        scope=scope,
        instance=state.me.name,
        incarnation=state.me.incarnation,
        number=leases.number,
        upto=leases.ledger.offset,
        fence=fence,
        lease_s=state.options.lease_s,
        note=note,
        era=leases.ledger.era,
    )


def on_append(state: State, now: float, event: AppendDone | AppendFailed) -> list[Effect]:
    """Process the outcome of an append to the stream."""
    leases = state.leases
    batch = leases.in_flight
    if batch is None or event.token != batch.token:
        return []
    leases.in_flight = None
    match event:
        case AppendDone():
            leases.failures = 0
            if event.era != leases.ledger.era or event.first_offset != leases.ledger.offset:
                # The effect of the records depends on the unread ones before them.
                return _read_next(state, now)
            effects: list[Effect] = []
            for offset, record in enumerate(batch.records, event.first_offset):
                effects += _apply_record(state, now, LogRecord(offset, encode(record)))
            leases.ledger.caught_up_at = now
            return effects
        case AppendFailed():
            return _on_append_failed(state, now)


def _on_append_failed(state: State, now: float) -> list[Effect]:
    """Schedule a retry and read on: the append may have succeeded without an acknowledgement."""
    leases = state.leases
    leases.failures += 1
    options = state.options
    backoff_s = options.lease_retry_s * 2.0 ** min(leases.failures - 1, 10)
    pause_s = min(options.lease_retry_max_s, backoff_s)
    leases.retry_at = now + pause_s * (0.5 + state.rng.random() / 2)
    leases.ledger.caught_up_at = float("-inf")
    return [Count("lease.append_failed"), *_read_next(state, now)]


# --- reads -----------------------------------------------------------------------------------


def _read_next(state: State, now: float) -> list[Effect]:
    """Read the stream from the ledger's offset, one read at a time."""
    leases = state.leases
    leases.next_read_at = now + state.options.lease_read_s
    reading_since = leases.reading_since
    if reading_since is not None and now - reading_since < state.options.lease_call_s:
        return []
    leases.reading_since = now
    if leases.ledger.start is None:
        # Only the end of the stream is needed: leases granted earlier expire without being read.
        return [ReadLog(LEASES_STREAM, 0, limit=1, newest_by_key=state.options.lease_keyed)]
    return [ReadLog(LEASES_STREAM, leases.ledger.offset)]


def on_log(
    state: State, now: float, event: LogRead | LogNewest | LogExpired | LogFailed
) -> list[Effect]:
    """Process the outcome of a read of the stream."""
    state.leases.reading_since = None
    match event:
        case LogRead():
            return _on_read(state, now, event)
        case LogNewest():
            return _on_newest(state, now, event)
        case LogExpired():
            start_at_end(state.leases.ledger, event.end_offset, now)
            state.leases.ledger.caught_up_at = now
            fields = {"stream": LEASES_STREAM, "end": event.end_offset}
            return [Log("leases_gap", fields)]
        case LogFailed():
            return []


def _on_newest(state: State, now: float, event: LogNewest) -> list[Effect]:
    leases = state.leases
    if event.era < leases.ledger.era:
        # A late answer of a store that has since come back from a copy.
        return []
    is_copied = event.era > leases.ledger.era > 0 or event.era > state.eras.quiet
    leases.ledger.era = event.era
    malformed_offsets = start_from_newest(leases.ledger, now, event.records, event.end_offset)
    leases.ledger.has_all_scopes = event.is_complete
    leases.ledger.caught_up_at = now
    if is_copied:
        return _on_copied(state, now, malformed_offsets)
    for scope in [*leases.held_leases, *leases.notes]:
        lease = leases.ledger.leases.get(scope)
        if lease is None or lease.incarnation != state.me.incarnation:
            leases.held_leases.pop(scope, None)
            leases.notes.pop(scope, None)
    effects: list[Effect] = [_malformed_log(offset) for offset in malformed_offsets]
    return effects + _append_due(state, now)


def _on_copied(state: State, now: float, malformed_offsets: list[int]) -> list[Effect]:
    """Take over the ledger of a store that has come back from a copy.

    Grants may be missing in it, also such as other instances still hold. A holder goes on to the
    end of its term, and renews its lease in the new era; all others wait for the longest lease.
    """
    leases = state.leases
    forget_certainty(leases.ledger)
    for scope in [each for each in leases.notes if each not in leases.held_leases]:
        del leases.notes[scope]
    effects: list[Effect] = [_malformed_log(offset) for offset in malformed_offsets]
    fields = {"stream": LEASES_STREAM, "era": leases.ledger.era, "held": len(leases.held_leases)}
    return [*effects, Log("leases_copied", fields), *_append_due(state, now)]


def _malformed_log(offset: int) -> Log:
    return Log("record_malformed", {"stream": LEASES_STREAM, "offset": offset})


def _on_read(state: State, now: float, event: LogRead) -> list[Effect]:
    ledger = state.leases.ledger
    effects: list[Effect] = []
    if ledger.start is None:
        start_at_end(ledger, event.end_offset if event.end_offset > len(event.records) else 0, now)
    elif event.end_offset < ledger.offset:
        # The platform has lost records; leases from before are left to expire.
        fields = {"stream": LEASES_STREAM, "end": event.end_offset, "offset": ledger.offset}
        effects.append(Log("log_shorter", fields))
        start_at_end(ledger, event.end_offset, now)
    for record in event.records:
        if record.offset == ledger.offset:
            effects += _apply_record(state, now, record)
    if ledger.offset < event.end_offset:
        return effects + _read_next(state, now)
    ledger.caught_up_at = now
    return effects + _append_due(state, now)


def _apply_record(state: State, now: float, record: LogRecord) -> list[Effect]:
    leases = state.leases
    is_taken_over = _is_taken_over(state, record)
    folded = fold(leases.ledger, now, record.offset, record.value)
    if folded.record is None:
        return [Count("lease.malformed"), _malformed_log(record.offset)]
    if folded.record.incarnation == state.me.incarnation:
        return _apply_local_record(state, now, folded, is_taken_over=is_taken_over)
    if not folded.is_valid:
        return []
    # Another instance has the lease now, so the refused number no longer matters.
    leases.dropped.discard(folded.record.scope)
    leases.notes.pop(folded.record.scope, None)
    leases.idle_scopes.discard(folded.record.scope)
    if leases.held_leases.pop(folded.record.scope, None) is None:
        return []
    return [Log("lease_lost", {"scope": str(folded.record.scope), "to": folded.record.instance})]


def _is_taken_over(state: State, record: LogRecord) -> bool:
    """Return whether orders under the previous lease may still be pending."""
    ledger = state.leases.ledger
    scope = _scope_of(record)
    lease = ledger.leases.get(scope) if scope is not None else None
    if lease is None:
        # If all records were read, there was no holder.
        return not has_all_records(ledger)
    # After a release no orders are pending, and this instance knows its own orders, unless they
    # were sent under a number from before the store came back from a copy.
    is_own = lease.incarnation == state.me.incarnation and lease.is_sure
    return not lease.released and not is_own


def _scope_of(record: LogRecord) -> LeaseScope | None:
    value = record.value
    if not isinstance(value, dict):
        return None
    service, data_centre = value.get("service"), value.get("data_centre")
    if not isinstance(service, str) or not isinstance(data_centre, str):
        return None
    return LeaseScope(service, data_centre)


def _apply_local_record(
    state: State, now: float, folded: LeaseFoldResult, *, is_taken_over: bool
) -> list[Effect]:
    """Record the lease that this instance's record has established, for its remaining time."""
    leases = state.leases
    record = folded.record
    assert record is not None
    sent_at = leases.record_sent_at.pop(record.number, None)
    if not (folded.is_valid and folded.is_sure):
        return [Count("lease.void")]
    if record.act is LeaseAction.RELEASE or sent_at is None:
        return []
    scope = record.scope
    if record.act is LeaseAction.GRANT:
        leases.dropped.discard(scope)
    elif scope in leases.dropped:
        return []
    lease = leases.ledger.leases[scope]
    expires_at = sent_at + record.lease_s
    if expires_at <= now:
        return []
    previous = leases.held_leases.get(scope)
    if previous is not None and previous.fence == lease.fence:
        leases.held_leases[scope] = HeldLease(
            lease.fence,
            max(expires_at, previous.expires_at),
            previous.held_since,
            previous.is_taken_over,
        )
        return []
    leases.held_leases[scope] = HeldLease(lease.fence, expires_at, now, is_taken_over)
    fields = {"scope": str(scope), "fence": lease.fence, "act": record.act.value}
    return [Count("lease.held"), Log("lease_held", fields)]
