"""Detection of servers that are slower than their peers, from this instance's observations.

Load reports lag, and a straggler may report a normal load, so detection uses the time between
tokens of this instance's requests. It is sampled on ticks from the token counts of running
attempts, which adds no cost per token, averaged by server, and compared with the median of the
servers of the same service. A slow server gets work in inverse proportion to its gap. A very slow
one gets only probes, single requests of the lowest tier, until its samples are normal again.

The comparison is relative: if all servers are slow, as at peak load, none is a straggler, so at
least half of the servers of a service always remain in use.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import exp
from statistics import median
from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Attempt

# Maximum age of a usable sample. Samples are more frequent than this while any attempt runs.
_SAMPLE_VALID_S: Final = 2.0
# Time constant of the decayed token rate: the duration of a typical answer.
_RATE_DECAY_TIME_S: Final = 3.0


class ServerPace(Struct):
    """Observed speed of one server."""

    service: str
    # Average time between tokens, seconds.
    gap_s: float = 0.0
    samples: int = 0
    # When the newest sample ended.
    last_sample_at: float = 0.0
    # Recent running time of answers, seconds, and their tokens in that time, both decayed.
    ran_s: float = 0.0
    ran_tokens: float = 0.0
    # Share of its slots that is used, 0..1; 0.0 for a stopped straggler.
    weight: float = 1.0
    # Until then stopped because of overdue tokens, when there were too few servers for a verdict.
    stopped_until: float = 0.0
    # When a stopped straggler may be given its next probe.
    next_probe_at: float = 0.0
    # Number of verdicts as a straggler, for the state dump.
    judged: int = 0


class StragglerState(Struct):
    """Observed speed of all servers that this instance uses."""

    by_server: dict[ServerName, ServerPace] = field(default_factory=dict)
    # When the running attempts are sampled next.
    next_sample_at: float = 0.0
    # When each server last sent an overdue token.
    overdue_token_at: dict[ServerName, float] = field(default_factory=dict)


def server_weight(state: StragglerState, server: ServerName) -> float:
    """Return the share of a server's slots that may be used."""
    pace = state.by_server.get(server)
    return pace.weight if pace else 1.0


def begin_sampling(state: StragglerState, options: Options, now: float) -> bool:
    """Return whether to sample the running attempts now, and schedule the next sampling."""
    if now < state.next_sample_at:
        return False
    state.next_sample_at = now + options.straggler_sample_s
    return True


def sample_attempt(
    state: StragglerState,
    options: Options,
    now: float,
    service: str,
    attempt: Attempt,
    *,
    urgent: bool,
) -> None:
    """Record the time between tokens of a running attempt since its last sample."""
    if attempt.first_token_at is None:
        return
    since = attempt.sampled_at or attempt.first_token_at
    tokens = attempt.tokens - attempt.sampled_tokens
    elapsed_s = now - since
    if tokens <= 0 and (not urgent or elapsed_s < options.straggler_sample_s):
        # The engine may have preempted an attempt of a lower tier.
        return
    # Without a token the gap is at least the time elapsed so far.
    _add_gap(state, options, now, service, attempt.server, elapsed_s / max(1, tokens))
    _add_running_time(state, now, attempt.server, elapsed_s, tokens)
    attempt.sampled_at = now
    attempt.sampled_tokens = attempt.tokens


def sample_end(state: StragglerState, options: Options, service: str, attempt: Attempt) -> None:
    """Record the last part of an attempt that ended, so that short answers count as well."""
    last_token_at = attempt.last_token_at
    if last_token_at is None:
        return
    since = attempt.sampled_at or attempt.first_token_at or last_token_at
    tokens = attempt.tokens - attempt.sampled_tokens
    if attempt.sampled_at is None:
        # The first token starts the first gap.
        tokens -= 1
    if tokens > 0 and last_token_at > since:
        _add_gap(
            state, options, last_token_at, service, attempt.server, (last_token_at - since) / tokens
        )
        _add_running_time(state, last_token_at, attempt.server, last_token_at - since, tokens)


def _add_gap(
    state: StragglerState,
    options: Options,
    now: float,
    service: str,
    server: ServerName,
    sampled_gap_s: float,
) -> None:
    pace = state.by_server.get(server)
    if pace is None:
        pace = state.by_server[server] = ServerPace(service)
    pace.service = service
    pace.samples += 1
    weight = max(options.straggler_weight, 1.0 / pace.samples)
    if pace.weight == 0.0:
        # Prevents a stopped server, which is sampled rarely, from staying excluded for long.
        weight = max(weight, 0.5)
    pace.gap_s += weight * (sampled_gap_s - pace.gap_s)


def _add_running_time(
    state: StragglerState, now: float, server: ServerName, elapsed_s: float, tokens: int
) -> None:
    pace = state.by_server[server]
    decay = exp(min(0.0, pace.last_sample_at - now) / _RATE_DECAY_TIME_S)
    pace.ran_s = pace.ran_s * decay + elapsed_s
    pace.ran_tokens = pace.ran_tokens * decay + tokens
    pace.last_sample_at = max(pace.last_sample_at, now)


def update_weights(state: StragglerState, options: Options, now: float) -> list[ServerName]:
    """Update the weights of all servers; return the names of new stragglers."""
    new_stragglers: list[ServerName] = []
    for service, paces in _paces_by_service(state, options).items():
        if len(paces) < options.straggler_peers:
            # The median of too few servers does not show which one is slow.
            _reset_weights(state, now, service)
            continue
        median_gap_s = median(pace.gap_s for pace in paces.values())
        for name, pace in paces.items():
            if _update_weight(pace, options, now, pace.gap_s / max(median_gap_s, 1e-9)):
                new_stragglers.append(name)
    return new_stragglers


def recent_gap_s(state: StragglerState, now: float, servers: Iterable[ServerName]) -> float | None:
    """Return the median time between events at some servers, seconds; None without fresh samples.

    For each server it is the total time over all events rather than the mean of gaps. Prevents a
    few long gaps during a prefill from dominating, which would refuse callers needlessly.
    """
    server_paces = (state.by_server.get(name) for name in servers)
    paces = [pace for pace in server_paces if pace and now - pace.last_sample_at <= _SAMPLE_VALID_S]
    gaps_s = [pace.ran_s / pace.ran_tokens for pace in paces if pace.ran_tokens]
    return median(gaps_s) if gaps_s else None


def _paces_by_service(
    state: StragglerState, options: Options
) -> dict[str, dict[ServerName, ServerPace]]:
    groups: dict[str, dict[ServerName, ServerPace]] = {}
    for name, pace in state.by_server.items():
        if pace.samples >= options.straggler_samples:
            groups.setdefault(pace.service, {})[name] = pace
    return groups


def _reset_weights(state: StragglerState, now: float, service: str) -> None:
    for pace in state.by_server.values():
        # Prevents a server stopped for overdue tokens from being used again immediately.
        if pace.service == service and now >= pace.stopped_until:
            pace.weight = 1.0


def _update_weight(pace: ServerPace, options: Options, now: float, ratio: float) -> bool:
    """Set a server's weight by its gap over the median; return whether it is a new straggler."""
    was_normal = pace.weight == 1.0
    if ratio >= options.straggler_stop:
        if pace.weight > 0.0:
            pace.next_probe_at = now + options.straggler_probe_s
        pace.weight = 0.0
    elif ratio >= options.straggler_slow or (not was_normal and ratio > options.straggler_well):
        pace.weight = 1.0 / ratio
    else:
        pace.weight = 1.0
    is_new = was_normal and pace.weight < 1.0
    pace.judged += is_new
    return is_new


def note_overdue_token(state: StragglerState, now: float, server: ServerName) -> None:
    """Record that a server sent an overdue token."""
    state.overdue_token_at[server] = now


def has_overdue_token(
    state: StragglerState, options: Options, now: float, server: ServerName
) -> bool:
    """Return whether a server has recently sent an overdue token."""
    overdue_token_at = state.overdue_token_at.get(server)
    return overdue_token_at is not None and now - overdue_token_at < options.move_well_s


def is_repeated_gap(state: StragglerState, now: float, server: ServerName, gap_s: float) -> bool:
    """Return whether an overdue gap that ends now follows an earlier one on the same server.

    All answers in a batch get their tokens at nearly the same time. A gap that ended about one gap
    ago is an earlier one; a gap that ends at the same time is the same pause in another answer.
    """
    overdue_token_at = state.overdue_token_at.get(server)
    return overdue_token_at is not None and 0.5 * gap_s <= now - overdue_token_at <= 2.0 * gap_s


def is_gap_outlier(
    state: StragglerState, options: Options, service: str, server: ServerName, gap_s: float
) -> bool:
    """Return whether a gap on a server is well above those of the other servers of its service.

    Unlike for a verdict, one other server is sufficient: an instance may have credit for only a
    few servers, and the consequence is only one moved request and a short stop.
    """
    other_gaps_s = [
        pace.gap_s
        for name, pace in state.by_server.items()
        if name != server and pace.service == service
    ]
    return bool(other_gaps_s) and gap_s >= options.straggler_slow * median(other_gaps_s)


def stop_straggler(
    state: StragglerState,
    options: Options,
    now: float,
    service: str,
    server: ServerName,
    gap_s: float,
) -> bool:
    """Stop giving a server new work except probes; return whether it had its full weight before.

    Prevents new requests from being sent there, and then moved, until the average gap has
    increased. Attempts still running there lower the average again if the gap was an exception.
    """
    pace = state.by_server.setdefault(server, ServerPace(service))
    if pace.weight == 0.0:
        return False
    is_new = pace.weight == 1.0
    pace.judged += is_new
    pace.gap_s = max(pace.gap_s, gap_s)
    pace.weight = 0.0
    pace.next_probe_at = pace.stopped_until = now + options.straggler_probe_s
    return is_new


def can_probe_straggler(
    state: StragglerState, now: float, server: ServerName, in_flight: int
) -> bool:
    """Return whether a stopped straggler may be given one request as a probe."""
    pace = state.by_server.get(server)
    return pace is not None and not in_flight and now >= pace.next_probe_at


def note_probe(state: StragglerState, options: Options, now: float, server: ServerName) -> None:
    """Record that a stopped straggler was given a request as a probe."""
    pace = state.by_server.get(server)
    if pace is not None and pace.weight == 0.0:
        pace.next_probe_at = now + options.straggler_probe_s


def forget_server(state: StragglerState, server: ServerName) -> None:
    """Discard the observations of a server that restarted or is gone."""
    state.by_server.pop(server, None)
    state.overdue_token_at.pop(server, None)
