"""Quarantine: requests that were in flight at the crash of a server, and isolated runs."""

from __future__ import annotations

from msgspec import Struct


class Sighting(Struct, frozen=True, array_like=True, order=True):
    """A request that was in flight at a crash, and the instance that had sent it."""

    fingerprint: str
    instance: str


class CrashRecord(Struct, frozen=True, array_like=True):
    """What is known about one crash; two records of the same crash are merged."""

    server: str
    # The incarnation of the server that ended with the crash.
    incarnation: str
    # Seconds since the crash was first reported.
    age_s: float
    # Requests that were in flight, and those of them that were sent only after the crash.
    suspects: list[Sighting] = []
    sent_after_crash: list[Sighting] = []
    # Fingerprints of requests that completed later, through any instance.
    cleared: list[str] = []
    # The server was alive in the same incarnation afterwards: it was not a crash.
    retracted: bool = False
    # Hashes of shared parts of prompts that were in flight, of those that sound answers have
    # cleared, and of those that ran isolated.
    parts: list[int] = []
    cleared_parts: list[int] = []
    isolated_parts: list[int] = []


class CrashNews(Struct, frozen=True, array_like=True):
    """Crashes that the receiver may not know of."""

    crashes: list[CrashRecord] = []
    # These are all that the sender knows of, and it has not just started.
    complete: bool = False


class CrashesAsk(Struct, frozen=True, array_like=True):
    """Requests all crashes that the receiver knows of, unless their hash is this one."""

    crashes_hash: int


class TrialAsk(Struct, frozen=True, array_like=True):
    """Requests an isolated run of this suspect: no other suspect may run on the server."""

    server: str
    fingerprint: str


class TrialAnswer(Struct, frozen=True, array_like=True):
    """Grants an isolated run, or denies it because another suspect runs there."""

    server: str
    fingerprint: str
    granted: bool


class TrialEnd(Struct, frozen=True, array_like=True):
    """The isolated run on this server ended."""

    server: str
    fingerprint: str
    # The connection broke: the server may have crashed.
    connection_broke: bool = False
