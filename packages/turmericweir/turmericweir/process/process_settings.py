"""The process's own settings file: who it is and where it listens.

It is JSON with comments, read once at the start. Everything that operators change while the router
runs is in the platform's settings log instead, and reaches the core by another way.
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
from turmericweir_core.base.options import Options

# Cross-checked against `Options`, so that a new option can be set without a change here.
OPTION_NAMES: Final = frozenset(each.name for each in fields(Options))


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError("expected ip:port")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError("expected ip:port with a numeric IP address") from None
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Seconds = Annotated[float, Field(gt=0)]


class Section(BaseModel):
    """A part of the file; unknown fields are errors, since they are mostly misspelt ones."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(Section):
    """How the platform is reached."""

    address: Address
    # Sent as X-Instance with each call; the process's own name where it is not set.
    source: str | None = None


class AdminToken(Section):
    """An operator's token for the admin port."""

    name: str = Field(min_length=1)
    # SHA-256 of the token, 64 hex digits.
    token_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    # Settings paths that it may change.
    paths: tuple[str, ...] = ("/",)


class Limits(Section):
    """What a caller may send; whatever exceeds it gets a 4xx and costs nothing else."""

    # Request line and headers together, bytes.
    header_bytes: int = Field(default=32_768, gt=0)
    # From the first byte of a request to the end of its headers.
    header_s: Seconds = 10.0
    # Request body, bytes.
    body_bytes: int = Field(default=4_194_304, gt=0)
    # From the end of the headers to the end of the body.
    body_s: Seconds = 20.0
    # How long a caller may leave its answer unread before it counts as gone.
    unread_s: Seconds = 30.0
    # How long an idle connection of a caller is kept.
    keep_alive_s: int = Field(default=75, gt=0)


class ProcessSettings(Section):
    """The whole file."""

    name: str = Field(pattern=r"^[A-Za-z0-9._-]+$")
    data_centre: str = Field(min_length=1)
    region: str = Field(min_length=1)
    # Instances of another cluster are not listened to, nor those of regions that are not named.
    cluster: str = "turmericweir"
    other_regions: tuple[str, ...] = ()
    # Where callers, operators and other instances reach this process.
    caller_address: Address
    admin_address: Address
    peer_address: Address
    # Where it listens for other instances, if something in between passes their traffic on.
    peer_listen_address: Address | None = None
    platform: PlatformSettings
    # Peer addresses to try before the platform's list was read.
    seeds: tuple[Address, ...] = ()
    admin_tokens: tuple[AdminToken, ...] = ()
    # Where statsd listens for UDP; None sends no metrics.
    statsd: Address | None = None
    # A file to append log lines to; None is standard error.
    log: str | None = None
    limits: Limits = Limits()
    # How long a graceful stop goes on accepting while the balancer's list lags behind.
    stop_grace_s: float = Field(default=3.0, ge=0)
    # Seed of the core's generator; None takes one from the system.
    seed: int | None = None
    # Overrides of core options, by name.
    options: dict[str, float] = Field(default_factory=dict)

    @field_validator("options")
    @classmethod
    def _known_options(cls, options: dict[str, float]) -> dict[str, float]:
        for name in options:
            if name not in OPTION_NAMES:
                raise ValueError(f"no option is called {name!r}")
        return options

    def core_options(self) -> Options:
        """Build the core's options from the defaults and the overrides."""
        defaults = Options()
        changed: dict[str, float] = {"stop_grace_s": self.stop_grace_s, **self.options}
        # An option that counts things stays a whole number.
        typed = {
            name: int(value) if isinstance(getattr(defaults, name), int) else value
            for name, value in changed.items()
            if name in OPTION_NAMES
        }
        # Any: each name has been checked to be a field, whose type is then that of its default.
        overrides: dict[str, Any] = typed
        return Options(**overrides)


def read_settings(path: Path) -> Result[ProcessSettings, SettingsFileError]:
    """Read and validate the settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Failure(SettingsFileError("read settings", str(path), str(exc)))
    return parse_settings(text, str(path))


def parse_settings(text: str, origin: str) -> Result[ProcessSettings, SettingsFileError]:
    """Validate the text of a settings file; `origin` names it in errors."""
    try:
        value = json5.loads(text)
    except ValueError as exc:
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
