"""The list of backend servers, and the paths that instances have to them."""

from __future__ import annotations

from msgspec import Struct

from turmericweir_core.base.config import ServerEntry


class ServersAsk(Struct, frozen=True, array_like=True):
    """Requests the platform's list of backend servers."""


class ServersSend(Struct, frozen=True, array_like=True):
    """The platform's list of backend servers, as last read."""

    # Seconds since it was read from the platform.
    age_s: float
    servers: list[ServerEntry] = []
    # On a platform with a store: the offset of each server's newest record, and the offset up to
    # which the list reflects all records.
    offsets: list[int] = []
    end: int = 0
    # The era of the store to which the offsets belong, and the offset from which on all records
    # were written in it; 0 if the store states none.
    era: int = 0
    era_start: int = 0
    # Servers that are not in the list may exist.
    is_partial: bool = False


class RegistryRow(Struct, frozen=True, array_like=True):
    """A server's entry, or its removal, with the offset of its record."""

    offset: int
    name: str
    # None if the entry was removed.
    entry: ServerEntry | None = None


class RegistryNews(Struct, frozen=True, array_like=True):
    """Changed entries of servers from a new read, and the hash of all entries."""

    servers_hash: int
    rows: list[RegistryRow] = []
    # The instance that read them; empty for the sender.
    reader: str = ""
    # Offset up to which the hashed entries reflect all records.
    end: int = 0
    # Time since the read was requested.
    age_ms: int = 0
    # The era of the store to which the offsets belong.
    era: int = 0


class PathsAsk(Struct, frozen=True, array_like=True):
    """Asks which of these servers the receiver can connect to."""

    servers: list[str]
    # Maximum age of a connection by which the receiver may answer, in milliseconds.
    evidence_ms: int


class PathsSend(Struct, frozen=True, array_like=True):
    """The servers that the sender can connect to, and those that it cannot."""

    reached: list[str]
    lost: list[str]
    # Connections that the sender carries to servers for other instances.
    carried: int


class CarryAsk(Struct, frozen=True, array_like=True):
    """Asks the receiver to connect to a server and to carry what this connection transports.

    It is the first and only frame of a connection; see `peers.carrier` of the daemon.
    """

    server: str
    address: str
