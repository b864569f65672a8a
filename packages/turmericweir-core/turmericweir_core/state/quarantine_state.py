"""State of the quarantine of requests that crash servers; see `quarantine` and `isolated_runs`."""

from __future__ import annotations

from typing import Final, NamedTuple

from msgspec import Struct, field

from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.request import Request
from turmericweir_core.messages.peer_messages import Sighting

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


def is_named(key: CrashKey) -> bool:
    """Return whether the incarnation of the crashed server is known."""
    return not key.incarnation.startswith(_UNKNOWN_PREFIX)


class Crash(Struct):
    """One crash, as reported by all instances. The sets only grow, so reports can be merged."""

    # When any instance first observed it, by this instance's clock.
    at: float
    # When the record last changed; the verdict waits until it is stable.
    changed_at: float
    # The requests that were in flight, as reported by each instance.
    suspects: set[Sighting] = field(default_factory=set)
    # Those of them that were sent after the crash. The same request may have been in flight through
    # another instance.
    late: set[Sighting] = field(default_factory=set)
    # Fingerprints that have completed since, or progressed beyond where they were at the crash.
    cleared: set[str] = field(default_factory=set)
    # The server was later observed in the same incarnation: a network fault, not a crash.
    retracted: bool = False
    # The verdict has been reached since the last change.
    judged: bool = False
    # Start times of this instance's attempts that the crash broke, by fingerprint. Not sent to
    # peers, because each instance clears only its own.
    own_started: dict[str, float] = field(default_factory=dict)

    def guilty(self) -> set[str]:
        """Return the fingerprints that may have caused the crash."""
        return set() if self.retracted else self.in_flight() - self.cleared

    def in_flight(self) -> set[str]:
        """Return the fingerprints that were in flight through any instance."""
        return {sighting.fingerprint for sighting in self.suspects - self.late}


class Evidence(Struct, frozen=True):
    """New information about a crash; see `Crash` for the fields."""

    suspects: frozenset[Sighting] = frozenset()
    late: frozenset[Sighting] = frozenset()
    cleared: frozenset[str] = frozenset()
    retracted: bool = False


class Break(Struct, frozen=True):
    """A connection that broke while the server seemed live; it may have restarted in between."""

    at: float
    incarnation: str
    fingerprint: str
    # When the attempt began.
    started: float
    # It was given up because the server was unresponsive.
    silent: bool = False


class HeldSuspect(Struct):
    """A suspect request that waits for an isolated run."""

    req: Request
    # The server whose home was asked for permission, and when; None if no answer is pending.
    asked: ServerName | None = None
    asked_at: float = NEVER
    # When permission may be requested again.
    ask_due: float = NEVER
    # Servers that run another suspect, and until when they are excluded.
    denied: dict[ServerName, float] = field(default_factory=dict)


class OwnTrial(Struct):
    """An isolated run of a suspect of this instance on a server."""

    request_id: RequestId
    server: ServerName
    fingerprint: str
    # The instance that gave permission; empty if none answered.
    home: InstanceName
    renew_due: float


class GivenTrial(Struct):
    """Permission for an isolated run, given by this instance as the home of the server."""

    holder: InstanceName
    fingerprint: str
    until: float


class QuarantineState(Struct):
    """State of the quarantine of an instance."""

    crashes: dict[CrashKey, Crash] = field(default_factory=dict)
    # Number of crashes with a fingerprint in flight and not cleared; derived from `crashes`.
    counts: dict[str, int] = field(default_factory=dict)
    # Refused fingerprints, and until when.
    refused: dict[str, float] = field(default_factory=dict)
    breaks: dict[ServerName, list[Break]] = field(default_factory=dict)
    held: dict[RequestId, HeldSuspect] = field(default_factory=dict)
    own: dict[AttemptId, OwnTrial] = field(default_factory=dict)
    given: dict[ServerName, GivenTrial] = field(default_factory=dict)
    # At the home: fingerprints whose isolated run just broke, and until when they get no other.
    barred: dict[str, float] = field(default_factory=dict)
    # Crashes still to be sent to the other instances, and how many times.
    unsent: dict[CrashKey, int] = field(default_factory=dict)
    resend_due: float = NEVER
    # Requests have to be checked for new suspects and verdicts.
    look_through: bool = False
    ask_due: float = NEVER
    # When the oldest crash is next checked for expiry.
    expire_due: float = NEVER
