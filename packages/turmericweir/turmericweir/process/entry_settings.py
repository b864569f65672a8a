"""The settings file of a process whose platform provides settings and servers in a store.

The file is JSON with comment lines that begin with two slashes. What is null counts as not given.
The file contains the process's identity, its addresses and the platform's bounds; the store
provides everything that operators change at runtime. `deploy/settings.json` is the template.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from math import inf, isfinite, isnan, log2
from pathlib import Path
from typing import Any, Final

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from turmericweir.process.answer_bounds import AnswerBounds
from turmericweir.process.errors import DaemonError, SettingsFileError, SettingsNotWholeError
from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.request_fields import is_sendable_value

_COMMENT: Final = "//"
# Resources of a machine of class 0.
_LINK_MBPS: Final = 5.0
_PROCESSORS: Final = 0.25
_PORT_MAX: Final = 65_535
_MEGABYTE: Final = 1_000_000


class MachineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The capacity of the machine."""

    link_mbps: float = 0
    # Number of cores, and their speed relative to a standard core.
    processors: float = 0
    processor_speed: float = 1
    # The memory above which a process is killed, in megabytes (10^6 bytes); 0 for no limit.
    memory_mb: float = 0
    # Whether the buffers of sockets count toward that memory.
    counts_sockets: bool = False
    # The number of descriptors that a process may open; 0 for the limit of the system.
    max_fds: int = 0

    @property
    def memory_bytes(self) -> int:
        """Return the memory limit in bytes; 0 for none."""
        return max(0, int(self.memory_mb * _MEGABYTE))

    @property
    def socket_memory_bytes(self) -> int:
        """Return the memory limit that holds for buffers of sockets too; 0 for none."""
        return self.memory_bytes if self.counts_sockets else 0

    @property
    def machine_capacity(self) -> int:
        """Return the capacity class: 0, plus one for each doubling of the scarcest resource."""
        scarcest_ratio = min(
            self.link_mbps / _LINK_MBPS, self.processors * self.processor_speed / _PROCESSORS
        )
        return max(0, int(log2(scarcest_ratio))) if scarcest_ratio > 0.0 else 0


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The address of the platform's store."""

    # ip:port.
    address: str


class DutiesSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Calls to the platform that only one instance at a time makes."""

    # Where the platform accepts the calls, ip:port.
    address: str
    # Kinds of duties; unknown ones are ignored.
    kinds: list[str] = []
    # Calls per second that the platform accepts from all instances together.
    calls_per_s: float = 50
    # Whether the platform rejects calls whose fencing number is below an earlier one.
    checks_fence: bool = True
    # Duration of a lease, in milliseconds. An instance must not act on a lease that has expired.
    lease_ms: float = 3_000
    # Length of a usage window, and the delay after its end until its report, in seconds.
    window_s: float = 60
    late_s: float = 60


class BoundsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the platform sets for every process."""

    # Maximum time until a leaving server receives no new requests.
    drain_ms: float = 2_000
    # Maximum time until changed settings are in force everywhere.
    settings_ms: float = 2_000
    # Time after which a stopping process is killed, in seconds.
    grace_s: float = 8
    # Whether a revoked key must be rejected everywhere, and the maximum delay.
    strict_revoke: bool = False
    revoke_ms: float = 5_000
    # Retry budget of all instances: share of first requests, window and additional burst.
    retry_ratio: float = 0.1
    retry_window_s: float = 10
    retry_burst: float = 10


class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How servers are chosen."""

    # Whether what a cached beginning of a prompt saves is weighed against the wait for its engine.
    weighs_waits: bool = False
    # Whether customers share the room of a class that has too little, by the work served for each.
    shares_room: bool = False
    # Whether requests that cannot be in time give way to those that can, and are refused early if
    # no room comes for them before their deadline.
    refuses_late: bool = False
    # Whether servers that fail more requests than the others of their service are ejected.
    ejects_servers: bool = False
    # Whether instances report to each other how fast each engine prefills prompts.
    shares_pace: bool = False


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """The complete settings file."""

    name: str
    data_centre: str
    region: str
    # Regions by data centre.
    regions: dict[str, str] = {}
    # Addresses for callers, the balancer and operators, ip:port each.
    caller_address: str
    readiness_address: str
    admin_address: str = ""
    # Address for other instances, over TCP and UDP.
    peer_address: str
    # Addresses of other instances with any port; their peer port is the same as this process's.
    seeds: list[str] = []
    # Port on which the collector fetches metrics; 0 for none.
    metrics_port: int = 0
    # SHA-256 of the operators' token for the admin address; if empty, no token is required.
    admin_token_sha256: str = ""
    machine: MachineSettings = MachineSettings()
    store: StoreSettings
    # None if the platform has no duties.
    duties: DutiesSettings | None = None
    bounds: BoundsSettings = BoundsSettings()
    placement: PlacementSettings = PlacementSettings()
    # Bounds on what servers answer.
    answers: AnswerBounds = AnswerBounds()

    @property
    def peer_seeds(self) -> tuple[str, ...]:
        """Return the addresses of the first instances to contact."""
        port = self.peer_address.rpartition(":")[2]
        return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds if seed)

    @property
    def host(self) -> str:
        """Return the IP address of the machine."""
        return self.peer_address.rpartition(":")[0]


@dataclass(frozen=True, slots=True)
class _FileVersion:
    """What differs between two versions of a file, mostly."""

    modified_at_ns: int
    size_bytes: int
    inode: int


class SettingsFile:
    """The settings file of the process, which the platform may replace at any time."""

    _path: Path
    # The version that was last read; None while the file is absent.
    _version: _FileVersion | None
    # Whether no other read is needed until the version changes.
    _is_confirmed: bool
    # What the last successful read returned.
    last_whole: EntrySettings | None

    def __init__(self, path: Path) -> None:
        self._path = path
        self.last_whole = None
        self._version = None
        self._is_confirmed = False

    def read(self) -> Result[EntrySettings, SettingsFileError]:
        """Read and validate the file."""
        # Before the read, so that a change during it counts as a later one.
        version = self._read_version()
        result = read_entry_settings(self._path)
        # Two writes within one step of the file system's clock can leave the same version.
        self._is_confirmed = is_successful(result) and version == self._version
        self._version = version
        self.last_whole = result.value_or(self.last_whole)
        return result

    def has_changed(self) -> bool:
        """Return whether the file was modified after it was last read."""
        return self._read_version() != self._version

    def is_confirmed(self) -> bool:
        """Return whether the last two reads were of the same version, and the last one whole."""
        return self._is_confirmed

    def _read_version(self) -> _FileVersion | None:
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return _FileVersion(stat.st_mtime_ns, stat.st_size, stat.st_ino)


def read_entry_settings(path: Path) -> Result[EntrySettings, SettingsFileError]:
    """Read and validate the settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Failure(SettingsNotWholeError("read settings", str(path), str(exc)))
    return parse_entry_settings(text, str(path))


def parse_entry_settings(text: str, origin: str) -> Result[EntrySettings, SettingsFileError]:
    """Validate the text of a settings file; `origin` names the file in errors."""
    lines = [line for line in text.splitlines() if not line.lstrip().startswith(_COMMENT)]
    try:
        # Every part of a document, as a write in progress leaves it, is malformed.
        fields = msgspec.json.decode("\n".join(lines))
    except DECODE_ERRORS as exc:
        return Failure(SettingsNotWholeError("parse settings", origin, str(exc)))
    try:
        cfg = msgspec.convert(_without_nulls(fields), EntrySettings, strict=False)
        _check(cfg)
    except DECODE_ERRORS as exc:
        return Failure(SettingsFileError("validate settings", origin, str(exc)))
    return Success(cfg)


# Any: decoded JSON.
def _without_nulls(value: Any) -> Any:
    """Remove what is null, which a template writes for a value that its platform does not have."""
    if isinstance(value, dict):
        return {name: _without_nulls(each) for name, each in value.items() if each is not None}
    if isinstance(value, list):
        return [_without_nulls(each) for each in value if each is not None]
    return value


def can_become_whole(error: DaemonError) -> bool:
    """Return whether the settings file may be readable soon, without anybody correcting it."""
    return isinstance(error, SettingsNotWholeError)


def _check(cfg: EntrySettings) -> None:
    for name in ("caller_address", "readiness_address", "peer_address"):
        check_address(name, getattr(cfg, name))
    if cfg.admin_address:
        check_address("admin_address", cfg.admin_address)
    check_address("store.address", cfg.store.address)
    if cfg.duties is not None:
        _check_duties(cfg.duties)
    for name in ("name", "data_centre", "region"):
        if not getattr(cfg, name):
            raise ValueError(f"{name}: expected a name")
    if cfg.duties is not None and not is_sendable_value(cfg.name.encode()):
        raise ValueError(f"name: calls to the platform cannot have {cfg.name!r} in a header")
    if not 0 <= cfg.metrics_port <= _PORT_MAX:
        raise ValueError("metrics_port: expected a port, or 0")
    for name in MachineSettings.__struct_fields__:
        if not isfinite(getattr(cfg.machine, name)):
            raise ValueError(f"machine.{name}: expected a number")
    for name in BoundsSettings.__struct_fields__:
        if isnan(getattr(cfg.bounds, name)):
            raise ValueError(f"bounds.{name}: expected a number")
    for name in AnswerBounds.__struct_fields__:
        if getattr(cfg.answers, name) <= 0:
            raise ValueError(f"answers.{name}: expected a number above 0")


def _check_duties(duties: DutiesSettings) -> None:
    check_address("duties.address", duties.address)
    for name in ("calls_per_s", "lease_ms", "window_s", "late_s"):
        if not 0 < getattr(duties, name) < inf:
            raise ValueError(f"duties.{name}: expected a number above 0")


def check_address(name: str, text: str, *, port_min: int = 0) -> None:
    """Raise `ValueError` unless a text is an IP address with a port; `name` is for the error."""
    host, _, port = text.rpartition(":")
    # `int` also takes blanks, signs and digits of any script, and an address may have a scope of
    # any characters. No request could name such an address.
    is_plain = port.isascii() and port.isdigit() and "%" not in host
    try:
        ipaddress.ip_address(host)
        port_number = int(port) if is_plain else -1
    except ValueError:
        port_number = -1
    if not port_min <= port_number <= _PORT_MAX:
        raise ValueError(f"{name}: expected ip:port, got {text!r}")
