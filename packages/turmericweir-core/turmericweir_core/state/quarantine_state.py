"""State of the quarantine of requests that crash servers; see `quarantine` and `isolated_runs`."""

from __future__ import annotations

from typing import Final, NamedTuple

from msgspec import Struct, field

from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.request import Request
from turmericweir_core.messages.crash_messages import Sighting
from turmericweir_core.messages.effects import Log

NEVER: Final = float("-inf")
# Prefix of the placeholder for an unknown incarnation; no incarnation of a server starts with it.
_UNKNOWN_PREFIX: Final = "?"


class CrashKey(NamedTuple):
    """Identifies a crash by the incarnation of the server that crashed."""

    server: ServerName
    incarnation: str


def crash_key(server: ServerName, incarnation: str, attempt_id: AttemptId) -> CrashKey:
    """Return the key of a crash; the attempt identifies it if the incarnation is unknown."""
    return CrashKey(server, incarnation or _UNKNOWN_PREFIX + attempt_id)


def is_incarnation_known(key: CrashKey) -> bool:
    """Return whether the incarnation of the crashed server is known."""
    return not key.incarnation.startswith(_UNKNOWN_PREFIX)


class Crash(Struct):
    """One crash, as reported by all instances. The sets only grow, so reports can be merged."""

    # When any instance first observed it, by this instance's clock.
    first_seen_at: float
    # When the record last changed; the verdict waits until it is stable.
    changed_at: float
    # The requests that were in flight, as reported by each instance.
    suspects: set[Sighting] = field(default_factory=set)
    # Those of them that were sent after the crash. The same request may have been in flight through
    # another instance.
    sent_after: set[Sighting] = field(default_factory=set)
    # Fingerprints that have completed since, or progressed beyond where they were at the crash.
    cleared: set[str] = field(default_factory=set)
    # The shared parts of prompts that were in flight and on which no sound answer was known, those
    # of them that sound answers have cleared since, and those in an isolated run.
    parts: set[int] = field(default_factory=set)
    cleared_parts: set[int] = field(default_factory=set)
    isolated_parts: set[int] = field(default_factory=set)
    # The server was later observed in the same incarnation: a network fault, not a crash.
    is_retracted: bool = False
    # A refused part was in flight, so nothing else is held against the requests.
    is_explained: bool = False
    # The verdict has been reached since the last change.
    has_verdict: bool = False
    # Start times of this instance's attempts that the crash broke, by fingerprint. Not sent to
    # peers, because each instance clears only its own.
    local_started_at: dict[str, float] = field(default_factory=dict)

    def possible_causes(self) -> set[str]:
        """Return the fingerprints that may have caused the crash."""
        if self.is_retracted or self.is_explained:
            return set()
        return self.in_flight() - self.cleared

    def open_parts(self) -> set[int]:
        """Return the parts that may have caused the crash."""
        return set() if self.is_retracted else self.parts - self.cleared_parts

    def in_flight(self) -> set[str]:
        """Return the fingerprints that were in flight through any instance."""
        return {sighting.fingerprint for sighting in self.suspects - self.sent_after}


class CrashEvidence(Struct, frozen=True):
    """New information about a crash; see `Crash` for the fields."""

    suspects: frozenset[Sighting] = frozenset()
    sent_after: frozenset[Sighting] = frozenset()
    cleared: frozenset[str] = frozenset()
    parts: frozenset[int] = frozenset()
    cleared_parts: frozenset[int] = frozenset()
    isolated_parts: frozenset[int] = frozenset()
    is_retracted: bool = False


class PartCase(Struct, frozen=True):
    """What speaks against a part of prompts; see `part_verdicts`."""

    # Crashes at which it was in flight, the moments at which they came, and those of them in an
    # isolated run.
    crashes: int
    moments: int
    isolated: int
    last_crash_at: float
    # It is refused for a time after each crash.
    is_quarantined: bool


class SoundPart(Struct):
    """The last sound answer on a part of prompts."""

    answered_at: float
    # Crashes since then at which it was in flight, and when the last of them was seen.
    crashes_since: int = 0
    crashed_at: float = NEVER


class BrokenConnection(Struct, frozen=True):
    """A connection that broke while the server seemed live; it may have restarted in between."""

    broke_at: float
    incarnation: str
    request_id: RequestId
    attempt_id: AttemptId
    fingerprint: str
    # The shared parts of its prompt.
    parts: tuple[int, ...]
    # It ran isolated.
    is_isolated: bool
    # When the attempt began.
    attempt_started_at: float
    # It was given up because the server was unresponsive.
    is_unresponsive: bool = False


class WaitingSuspect(Struct):
    """A suspect request that waits for an isolated run."""

    req: Request
    # The server whose home was asked for permission, under which key, and when; None if no answer
    # is pending.
    asked_server: ServerName | None = None
    asked_key: str = ""
    asked_at: float = NEVER
    # When permission may be requested again.
    next_request_at: float = NEVER
    # Servers that run another suspect, and until when they are excluded.
    excluded_until: dict[ServerName, float] = field(default_factory=dict)


class IsolatedRun(Struct):
    """An isolated run of a suspect of this instance on a server."""

    request_id: RequestId
    server: ServerName
    fingerprint: str
    # The instance that gave permission; empty if none answered.
    home: InstanceName
    next_renewal_at: float


class IsolatedRunPermit(Struct):
    """Permission for an isolated run, given by this instance as the home of the server."""

    holder: InstanceName
    fingerprint: str
    permitted_until: float


class QuarantineState(Struct):
    """State of the quarantine of an instance."""

    crashes: dict[CrashKey, Crash] = field(default_factory=dict)
    # Number of crashes with a fingerprint in flight and not cleared; derived from `crashes`.
    crash_counts: dict[str, int] = field(default_factory=dict)
    # By part: what speaks against it; derived from `crashes`.
    part_cases: dict[int, PartCase] = field(default_factory=dict)
    # By part: its last sound answer, the oldest first.
    sound_parts: dict[int, SoundPart] = field(default_factory=dict)
    # Refused fingerprints, and until when.
    refused: dict[str, float] = field(default_factory=dict)
    broken_connections: dict[ServerName, list[BrokenConnection]] = field(default_factory=dict)
    waiting_suspects: dict[RequestId, WaitingSuspect] = field(default_factory=dict)
    isolated_runs: dict[AttemptId, IsolatedRun] = field(default_factory=dict)
    permits: dict[ServerName, IsolatedRunPermit] = field(default_factory=dict)
    # At the home: fingerprints whose isolated run just broke, and until when they get no other.
    runs_barred_until: dict[str, float] = field(default_factory=dict)
    # Crashes still to be sent to the other instances, and how many times.
    unsent_crashes: dict[CrashKey, int] = field(default_factory=dict)
    next_resend_at: float = NEVER
    # Lines on what was in flight at crashes, until the next tick.
    unwritten_logs: list[Log] = field(default_factory=list)
    # Requests have to be checked for new suspects and verdicts.
    needs_check: bool = False
    next_request_at: float = NEVER
    # A peer has sent all crashes that it knows of since this process started.
    has_peer_records: bool = False
    # When a peer may be asked again before that, and how often one was asked.
    next_first_request_at: float = NEVER
    first_requests: int = 0
    # When the oldest crash is next checked for expiry.
    next_expiry_at: float = NEVER
