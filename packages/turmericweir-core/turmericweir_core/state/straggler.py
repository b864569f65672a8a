"""Find servers that are slower than their peers, by what this instance itself observes.

Load reports lag and a straggler may report well, so the judge is the time between tokens of this
instance's own requests: sampled on ticks from the token counts of running attempts, so that a token
costs nothing, averaged for each server, and set against the median of the servers that serve the
same. A slow server gets work in inverse proportion; a very slow one gets none but a probe now and
then, one request of the lowest tier, until its samples are good again. A report is only a hint.

The judgement is relative on purpose: when all are slow, as in a rush, none is a straggler, so at
least half of a service's servers stay in use whatever happens.
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

# Samples are half a second apart while anything runs; one that is older tells of a time that is
# over.
_SEEN_VALID_S: Final = 2.0
# Memory of how fast answers come: as long as a usual answer takes.
_RAN_MEMORY_S: Final = 3.0


class ServerPace(Struct):
    """What this instance has seen of one server's speed."""

    service: str
    # Averaged time between tokens, seconds.
    gap_s: float = 0.0
    samples: int = 0
    # When the newest sample ended.
    seen_at: float = 0.0
    # Time that answers ran for of late, seconds, and the tokens that they had in it, both decayed.
    ran_s: float = 0.0
    ran_tokens: float = 0.0
    # Share of its slots that it is given work for, 0..1; 0.0 is a stopped straggler.
    weight: float = 1.0
    # Stopped until then by late gaps, where no majority of servers could judge it.
    stopped_until: float = 0.0
    # When a stopped straggler may be given its next probe.
    probe_due: float = 0.0
    # Times that it was judged to be a straggler, for the state dump.
    judged: int = 0


class StragglerState(Struct):
    """The pace of every server that this instance uses."""

    by_server: dict[ServerName, ServerPace] = field(default_factory=dict)
    # When the running attempts are sampled next.
    sample_due: float = 0.0
    # When each server last sent a token later than promised.
    late_at: dict[ServerName, float] = field(default_factory=dict)


def server_weight(state: StragglerState, server: ServerName) -> float:
    """Give the share of its slots that a server is given work for."""
    pace = state.by_server.get(server)
    return pace.weight if pace else 1.0


def sample_is_due(state: StragglerState, options: Options, now: float) -> bool:
    """Tell whether the running attempts are to be sampled now, and set when next."""
    if now < state.sample_due:
        return False
    state.sample_due = now + options.straggler_sample_s
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
    """Take the time between tokens of a running attempt since its last sample."""
    if attempt.first_token_at is None:
        return
    since = attempt.sampled_at or attempt.first_token_at
    tokens = attempt.tokens - attempt.sampled_tokens
    elapsed = now - since
    if tokens <= 0 and (not urgent or elapsed < options.straggler_sample_s):
        # A lower tier may stand still because the engine preempted it, which is no fault of its.
        return
    # Without a token the gap is at least as long as the silence so far.
    _add_gap(state, options, now, service, attempt.server, elapsed / max(1, tokens))
    _add_run(state, now, attempt.server, elapsed, tokens)
    attempt.sampled_at = now
    attempt.sampled_tokens = attempt.tokens


def sample_end(state: StragglerState, options: Options, service: str, attempt: Attempt) -> None:
    """Take the last part of an attempt that ended, so that short answers count as well."""
    last = attempt.last_token_at
    if last is None:
        return
    since = attempt.sampled_at or attempt.first_token_at or last
    tokens = attempt.tokens - attempt.sampled_tokens
    if attempt.sampled_at is None:
        # The first token ends the wait for it and starts the first gap.
        tokens -= 1
    if tokens > 0 and last > since:
        _add_gap(state, options, last, service, attempt.server, (last - since) / tokens)
        _add_run(state, last, attempt.server, last - since, tokens)


def _add_gap(
    state: StragglerState,
    options: Options,
    now: float,
    service: str,
    server: ServerName,
    gap: float,
) -> None:
    pace = state.by_server.get(server)
    if pace is None:
        pace = state.by_server[server] = ServerPace(service)
    pace.service = service
    pace.samples += 1
    weight = max(options.straggler_weight, 1.0 / pace.samples)
    if pace.weight == 0.0:
        # A stopped server is sampled seldom; without more weight for these it would stay out long.
        weight = max(weight, 0.5)
    pace.gap_s += weight * (gap - pace.gap_s)


def _add_run(
    state: StragglerState, now: float, server: ServerName, elapsed: float, tokens: int
) -> None:
    pace = state.by_server[server]
    fade = exp(min(0.0, pace.seen_at - now) / _RAN_MEMORY_S)
    pace.ran_s = pace.ran_s * fade + elapsed
    pace.ran_tokens = pace.ran_tokens * fade + tokens
    pace.seen_at = max(pace.seen_at, now)


def judge_all(state: StragglerState, options: Options, now: float) -> list[ServerName]:
    """Set every server's weight anew; give the names of those newly found to be stragglers."""
    found: list[ServerName] = []
    for service, paces in _by_service(state, options).items():
        if len(paces) < options.straggler_peers:
            # Two servers have no majority that could say which one is slow.
            _clear(state, now, service)
            continue
        usual = median(pace.gap_s for pace in paces.values())
        for name, pace in paces.items():
            if _judge(pace, options, now, pace.gap_s / max(usual, 1e-9)):
                found.append(name)
    return found


def gap_seen(state: StragglerState, now: float, servers: Iterable[ServerName]) -> float | None:
    """Give the usual time between events at some servers, seconds; None where none was seen.

    All time over all events, not the mean of gaps: between prompts that are read an engine makes
    ten events in the time of one, so of half a second with one event and another with sixteen the
    mean is four times what an answer sees, and callers who could be served are refused. What was
    seen in a rush says nothing once it is over: with nothing running there is no sample.
    """
    known = (state.by_server.get(name) for name in servers)
    paces = [pace for pace in known if pace and now - pace.seen_at <= _SEEN_VALID_S]
    gaps = [pace.ran_s / pace.ran_tokens for pace in paces if pace.ran_tokens]
    return median(gaps) if gaps else None


def _by_service(state: StragglerState, options: Options) -> dict[str, dict[ServerName, ServerPace]]:
    groups: dict[str, dict[ServerName, ServerPace]] = {}
    for name, pace in state.by_server.items():
        if pace.samples >= options.straggler_samples:
            groups.setdefault(pace.service, {})[name] = pace
    return groups


def _clear(state: StragglerState, now: float, service: str) -> None:
    for pace in state.by_server.values():
        # One that late gaps stopped has its pause, or the next request would be sent there at once.
        if pace.service == service and now >= pace.stopped_until:
            pace.weight = 1.0


def _judge(pace: ServerPace, options: Options, now: float, ratio: float) -> bool:
    """Set a server's weight by its gap over the median; tell whether it was well before."""
    was_well = pace.weight == 1.0
    if ratio >= options.straggler_stop:
        if pace.weight > 0.0:
            pace.probe_due = now + options.straggler_probe_s
        pace.weight = 0.0
    elif ratio >= options.straggler_slow or (not was_well and ratio > options.straggler_well):
        pace.weight = 1.0 / ratio
    else:
        pace.weight = 1.0
    newly = was_well and pace.weight < 1.0
    pace.judged += newly
    return newly


def note_late(state: StragglerState, now: float, server: ServerName) -> None:
    """Remember that a server sent a token later than promised."""
    state.late_at[server] = now


def was_late(state: StragglerState, options: Options, now: float, server: ServerName) -> bool:
    """Tell whether a server sent a token later than promised a short while ago."""
    late_at = state.late_at.get(server)
    return late_at is not None and now - late_at < options.move_well_s


def was_late_before(state: StragglerState, now: float, server: ServerName, gap_s: float) -> bool:
    """Tell whether a late gap that ends now follows another late one on its server.

    All answers of a batch have their tokens at the same moments, give or take what passing them on
    takes. So the gap before this one ended at most half a gap after this one began, and one that
    ends with it is the same pause.
    """
    late_at = state.late_at.get(server)
    return late_at is not None and 0.5 * gap_s <= now - late_at <= 2.0 * gap_s


def is_behind(
    state: StragglerState, options: Options, service: str, server: ServerName, gap_s: float
) -> bool:
    """Tell whether a gap on a server is well above what the others of its service show.

    One other server will do, unlike for a verdict: an instance that has credit for two or three
    servers knows no more of them, and what follows is one move and a short stop.
    """
    others = [
        pace.gap_s
        for name, pace in state.by_server.items()
        if name != server and pace.service == service
    ]
    return bool(others) and gap_s >= options.straggler_slow * median(others)


def stop(
    state: StragglerState,
    options: Options,
    now: float,
    service: str,
    server: ServerName,
    gap_s: float,
) -> bool:
    """Give a server no new work but probes from now on; tell whether it had all of its part before.

    The average gap takes a few samples to follow. Until then each new request would be sent there,
    to be moved away in its turn. What still runs there lowers it again if the gap was no rule.
    """
    pace = state.by_server.setdefault(server, ServerPace(service))
    if pace.weight == 0.0:
        return False
    newly = pace.weight == 1.0
    pace.judged += newly
    pace.gap_s = max(pace.gap_s, gap_s)
    pace.weight = 0.0
    pace.probe_due = pace.stopped_until = now + options.straggler_probe_s
    return newly


def may_probe(state: StragglerState, now: float, server: ServerName, in_flight: int) -> bool:
    """Tell whether a stopped straggler may be given one request to see how it does."""
    pace = state.by_server.get(server)
    return pace is not None and not in_flight and now >= pace.probe_due


def note_probe(state: StragglerState, options: Options, now: float, server: ServerName) -> None:
    """Remember that a stopped straggler was just given a request."""
    pace = state.by_server.get(server)
    if pace is not None and pace.weight == 0.0:
        pace.probe_due = now + options.straggler_probe_s


def forget_server(state: StragglerState, server: ServerName) -> None:
    """Judge a server afresh, because it restarted or is gone."""
    state.by_server.pop(server, None)
    state.late_at.pop(server, None)
