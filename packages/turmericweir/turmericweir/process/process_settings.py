"""The settings file of the process: its identity, addresses and limits.

The file is JSON with comments and is read once at the start. Settings that operators change at
runtime are in the platform's settings log instead.
"""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, Any, Final

import json5
from msgspec.structs import fields
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, field_validator
from returns.result import Failure, Result, Success

from turmericweir.process.errors import SettingsFileError
from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.request_fields import is_sendable_value
from turmericweir_core.base.options import Options

# Taken from `Options`, so that new options need no change here.
OPTION_NAMES: Final = frozenset(field.name for field in fields(Options))


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    # No request could name a port in digits of another script, or a scope of any characters.
    is_plain = port.isascii() and port.isdecimal() and "%" not in host
    if not separator or not is_plain or not 0 <= int(port) <= 65535:
        raise ValueError("expected ip:port")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("expected ip:port with a numeric IP address") from None
    return text


def _check_sendable(text: str) -> str:
    if not is_sendable_value(text.encode()):
        raise ValueError("expected characters that a header can have")
    return text


Address = Annotated[str, AfterValidator(_check_address)]
SendableName = Annotated[str, AfterValidator(_check_sendable)]
Seconds = Annotated[float, Field(gt=0)]


class Section(BaseModel):
    """A section of the file; unknown fields are errors, to detect misspelt names."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(Section):
    """The address of the platform."""

    address: Address
    # Sent as X-Instance with each call; defaults to the name of the process.
    source: SendableName | None = None


class AdminToken(Section):
    """An operator's token for the admin port."""

    name: str = Field(min_length=1)
    # SHA-256 of the token, 64 hex digits.
    token_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    # Settings paths below which the operator may make changes.
    paths: tuple[str, ...] = ("/",)


class Limits(Section):
    """Limits for callers; a request that exceeds one is answered with a 4xx status."""

    # Request line and headers together, bytes.
    header_bytes: int = Field(default=32_768, gt=0)
    # From the first byte of a request to the end of its headers.
    header_s: Seconds = 10.0
    # Request body, bytes.
    body_bytes: int = Field(default=4_194_304, gt=0)
    # From the end of the headers to the end of the body.
    body_s: Seconds = 20.0
    # Time after which a caller that does not read its answer counts as disconnected.
    unread_s: Seconds = 30.0
    # Time after which an idle connection of a caller is closed.
    keep_alive_s: int = Field(default=75, gt=0)


class ProcessSettings(Section):
    """The complete settings file."""

    name: str = Field(pattern=r"^[A-Za-z0-9._-]+$")
    data_centre: str = Field(min_length=1)
    region: str = Field(min_length=1)
    # Messages from instances of other clusters, and of regions not named here, are ignored.
    cluster: str = "turmericweir"
    other_regions: tuple[str, ...] = ()
    # Addresses for callers, operators and other instances.
    caller_address: Address
    admin_address: Address
    peer_address: Address
    # Where the process listens for other instances, if a proxy forwards their traffic.
    peer_listen_address: Address | None = None
    platform: PlatformSettings
    # Peer addresses to contact before the platform's list is read.
    seeds: tuple[Address, ...] = ()
    admin_tokens: tuple[AdminToken, ...] = ()
    # UDP address of statsd; None for no metrics.
    statsd: Address | None = None
    # A file to which log lines are appended; None for standard error.
    log: str | None = None
    limits: Limits = Limits()
    # Time for which a stopping process still accepts callers, until the balancer has noticed.
    stop_grace_s: float = Field(default=3.0, ge=0)
    # Seed of the core's random generator; None for a random one.
    seed: int | None = None
    # Overrides of core options, by name.
    options: dict[str, float] = Field(default_factory=dict)

    @field_validator("options")
    @classmethod
    def _check_options(cls, options: dict[str, float]) -> dict[str, float]:
        for name in options:
            if name not in OPTION_NAMES:
                raise ValueError(f"no option is called {name!r}")
        return options

    def core_options(self) -> Options:
        """Return the core's options: the defaults with the overrides."""
        defaults = Options()
        changed: dict[str, float] = {"stop_grace_s": self.stop_grace_s, **self.options}
        # Options with an integer default stay integers.
        typed_values = {
            name: int(value) if isinstance(getattr(defaults, name), int) else value
            for name, value in changed.items()
            if name in OPTION_NAMES
        }
        # Any: each name is a checked field with a value of the type of its default.
        overrides: dict[str, Any] = typed_values
        return Options(**overrides)


def read_settings(path: Path) -> Result[ProcessSettings, SettingsFileError]:
    """Read and validate the settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Failure(SettingsFileError("read settings", str(path), str(exc)))
    return parse_settings(text, str(path))


def parse_settings(text: str, origin: str) -> Result[ProcessSettings, SettingsFileError]:
    """Validate the text of a settings file; `origin` names the file in errors."""
    try:
        value = json5.loads(text)
    except DECODE_ERRORS as exc:
        return Failure(SettingsFileError("parse settings", origin, str(exc)))
    try:
        return Success(ProcessSettings.model_validate(value))
    except ValidationError as exc:
        return Failure(SettingsFileError("validate settings", origin, _explain(exc)))


def _explain(exc: ValidationError) -> str:
    lines = []
    for error in exc.errors(include_url=False):
        field = ".".join(str(part) for part in error["loc"]) or "(the whole file)"
        lines.append(f"{field}: {error['msg']}")
    return "; ".join(lines)
