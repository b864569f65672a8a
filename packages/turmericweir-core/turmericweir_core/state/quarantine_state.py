"""What the quarantine of requests that crash servers keeps; see `quarantine` and `trial`."""

from __future__ import annotations

from typing import Final, NamedTuple

from msgspec import Struct, field

from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.request import Request
from turmericweir_core.messages.peer_messages import Sighting

NEVER: Final = float("-inf")
# Begins the stand-in for an incarnation that is not known; no server's own word begins so.
_UNNAMED: Final = "?"


class CrashKey(NamedTuple):
    """Names a crash: the life of a server that it ended."""

    server: ServerName
    incarnation: str


def crash_key(server: ServerName, incarnation: str, attempt_id: AttemptId) -> CrashKey:
    """Name the crash that an attempt saw, by the attempt where the server's life is not known."""
    return CrashKey(server, incarnation or _UNNAMED + attempt_id)


def is_named(key: CrashKey) -> bool:
    """Tell whether it is known which life of the server the crash ended."""
    return not key.incarnation.startswith(_UNNAMED)


class Crash(Struct):
    """One crash, as all instances together know it. Its sets only grow, so records merge."""

    # By this instance's clock, when it was seen first anywhere.
    at: float
    # When something was last learnt of it; the verdict waits for this to settle.
    changed_at: float
    # The requests that were in flight, as each instance saw them.
    suspects: set[Sighting] = field(default_factory=set)
    # Those of them that were sent only after the crash. The same request may have been in flight
    # through another instance.
    late: set[Sighting] = field(default_factory=set)
    # Fingerprints that have completed since, or come past where they were.
    cleared: set[str] = field(default_factory=set)
    # The server was seen alive in the same life: a network fault, not a crash.
    retracted: bool = False
    # The verdict was given since the last change.
    judged: bool = False
    # When the attempts of this instance that broke there had begun, by fingerprint. Not told to
    # others: each instance clears its own.
    own_started: dict[str, float] = field(default_factory=dict)

    def guilty(self) -> set[str]:
        """Give the fingerprints that may have made the crash."""
        return set() if self.retracted else self.in_flight() - self.cleared

    def in_flight(self) -> set[str]:
        """Give the fingerprints that were in flight through some instance."""
        return {each.fingerprint for each in self.suspects - self.late}


class Evidence(Struct, frozen=True):
    """What is learnt of a crash at once; see `Crash` for its parts."""

    suspects: frozenset[Sighting] = frozenset()
    late: frozenset[Sighting] = frozenset()
    cleared: frozenset[str] = frozenset()
    retracted: bool = False


class Break(Struct, frozen=True):
    """A connection that broke while the server seemed alive: it may have restarted in between."""

    at: float
    incarnation: str
    fingerprint: str
    # When the attempt had begun.
    started: float
    # It did not break, but was given up for its silence.
    silent: bool = False


class HeldSuspect(Struct):
    """A suspect request that waits for a server of its own."""

    req: Request
    # The server whose home was asked, and when; None while no answer is awaited.
    asked: ServerName | None = None
    asked_at: float = NEVER
    # Not asked again before this time.
    ask_due: float = NEVER
    # Servers where another suspect runs, and until when they are passed over.
    denied: dict[ServerName, float] = field(default_factory=dict)


class OwnTrial(Struct):
    """A suspect of this instance that runs alone on a server."""

    request_id: RequestId
    server: ServerName
    fingerprint: str
    # Who gave leave; empty where nobody answered.
    home: InstanceName
    renew_due: float


class GivenTrial(Struct):
    """Leave that this instance gave, as home of the trials."""

    holder: InstanceName
    fingerprint: str
    until: float


class QuarantineState(Struct):
    """Everything that the quarantine keeps on one instance."""

    crashes: dict[CrashKey, Crash] = field(default_factory=dict)
    # In how many crashes a fingerprint was in flight and not cleared; follows `crashes`.
    counts: dict[str, int] = field(default_factory=dict)
    # Fingerprints that are refused, and until when.
    refused: dict[str, float] = field(default_factory=dict)
    breaks: dict[ServerName, list[Break]] = field(default_factory=dict)
    held: dict[RequestId, HeldSuspect] = field(default_factory=dict)
    own: dict[AttemptId, OwnTrial] = field(default_factory=dict)
    given: dict[ServerName, GivenTrial] = field(default_factory=dict)
    # Fingerprints whose trial broke a moment ago, and until when they get no other, at their home.
    barred: dict[str, float] = field(default_factory=dict)
    # Crashes of which the others are still to be told, and how often.
    unsent: dict[CrashKey, int] = field(default_factory=dict)
    resend_due: float = NEVER
    # Requests are to be looked through for new suspects and new verdicts.
    look_through: bool = False
    ask_due: float = NEVER
    # When the oldest crash is next looked at.
    expire_due: float = NEVER
