"""The paths that settings are written under, parsed into one data class for each kind.

A path says what a value is, which model validates it, and whose subtree it lies in. Operators hold
subtrees: a grant of `/teams/kestrel` covers that path and everything below it, and nothing else.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Final, TypeAlias

from returns.result import Failure, Result, Success

MAX_NAME: Final = 63
_NAME: Final = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME - 1}}}")
NAME_RULE: Final = (
    f"letters, digits, '.', '_' and '-', first a letter or digit, at most {MAX_NAME} of them"
)

PATH_FORMS: Final = (
    "/classes/<name>",
    "/customers/<customer>",
    "/teams/<team>/limit",
    "/teams/<team>/customers/<customer>",
    "/services/<service>",
    "/servers/<server>",
    "/models/<model>",
    "/operators/<name>",
    "/limits/default",
    "/limits/team:<team>",
    "/limits/customer:<customer>",
    "/policy",
)


class Scope(StrEnum):
    """What a path below `/limits` bounds."""

    # Each customer that has no limit of its own.
    DEFAULT = "default"
    TEAM = "team"
    CUSTOMER = "customer"


@dataclass(frozen=True, slots=True)
class ClassPath:
    """A service class."""

    name: str


@dataclass(frozen=True, slots=True)
class CustomerPath:
    """A customer, in the subtree of a team or, with an empty team, outside of all teams."""

    customer: str
    team: str = ""


@dataclass(frozen=True, slots=True)
class TeamLimitPath:
    """The limit that a team sets for itself."""

    team: str


@dataclass(frozen=True, slots=True)
class ServicePath:
    """A service."""

    service: str


@dataclass(frozen=True, slots=True)
class ServerPath:
    """A backend server."""

    server: str


@dataclass(frozen=True, slots=True)
class ModelPath:
    """How many servers should hold a model."""

    model: str


@dataclass(frozen=True, slots=True)
class OperatorPath:
    """An operator."""

    operator: str


@dataclass(frozen=True, slots=True)
class LimitPath:
    """A limit set above the teams, which a team cannot raise."""

    scope: Scope
    # Empty for the default.
    name: str = ""


@dataclass(frozen=True, slots=True)
class PolicyPath:
    """How servers are picked."""


SettingsPath: TypeAlias = (
    ClassPath
    | CustomerPath
    | TeamLimitPath
    | ServicePath
    | ServerPath
    | ModelPath
    | OperatorPath
    | LimitPath
    | PolicyPath
)


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong with a value."""

    # Where in the value, such as `rules.0.method`; empty for the value or path as a whole.
    field: str
    # What was expected there.
    expected: str


@dataclass(frozen=True, slots=True)
class SettingsError:
    """What is wrong with a setting, by path and field."""

    path: str
    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        parts = (f"{it.field}: {it.expected}" if it.field else it.expected for it in self.problems)
        return f"{self.path}: " + "; ".join(parts)


def parse_path(text: str) -> Result[SettingsPath, SettingsError]:
    """Parse a path, or say which forms there are."""
    if not text.startswith("/"):
        return _refuse(text, "a path that starts with '/'")
    parts = text[1:].split("/")
    for part in parts:
        if not _NAME.fullmatch(part) and not _is_limit_scope(parts):
            return _refuse(text, f"names made of {NAME_RULE}; got {part!r}")
    path = _match(parts)
    if path is None:
        return _refuse(text, "one of the forms " + ", ".join(PATH_FORMS))
    return Success(path)


def covers(subtree: str, path: str) -> bool:
    """Tell whether a path is the root of a subtree or lies below it."""
    root = subtree.rstrip("/")
    return path == root or path.startswith(root + "/")


def is_subtree(text: str) -> bool:
    """Tell whether a text can be granted to an operator."""
    if text == "/":
        return True
    parts = text[1:].split("/")
    plain = all(_NAME.fullmatch(part) for part in parts)
    return text.startswith("/") and (plain or _is_limit_scope(parts))


def _refuse(path: str, expected: str) -> Result[SettingsPath, SettingsError]:
    return Failure(SettingsError(path, (Problem("", f"expected {expected}"),)))


def _is_limit_scope(parts: list[str]) -> bool:
    return len(parts) == 2 and parts[0] == "limits" and _limit_path(parts[1]) is not None


def _match(parts: list[str]) -> SettingsPath | None:
    match parts:
        case ["classes", name]:
            return ClassPath(name)
        case ["customers", customer]:
            return CustomerPath(customer)
        case ["teams", team, "limit"]:
            return TeamLimitPath(team)
        case ["teams", team, "customers", customer]:
            return CustomerPath(customer, team)
        case ["services", service]:
            return ServicePath(service)
        case ["servers", server]:
            return ServerPath(server)
        # Model names are often written as `publisher/model`.
        case ["models", first, *rest] if len(rest) <= 1:
            return ModelPath("/".join((first, *rest)))
        case ["operators", operator]:
            return OperatorPath(operator)
        case ["limits", scope]:
            return _limit_path(scope)
        case ["policy"]:
            return PolicyPath()
        case _:
            return None


def _limit_path(text: str) -> LimitPath | None:
    if text == Scope.DEFAULT:
        return LimitPath(Scope.DEFAULT)
    scope, _, name = text.partition(":")
    if scope in (Scope.TEAM, Scope.CUSTOMER) and _NAME.fullmatch(name):
        return LimitPath(Scope(scope), name)
    return None
