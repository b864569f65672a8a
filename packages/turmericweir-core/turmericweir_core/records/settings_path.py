"""Paths of settings, parsed into one data class for each kind.

A path determines the model that validates its value and the subtree that it belongs to. Operators
are granted subtrees: a grant of `/teams/kestrel` covers that path and everything below it.
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


class LimitScope(StrEnum):
    """The subject of a limit below `/limits`."""

    # Every customer without its own limit.
    DEFAULT = "default"
    TEAM = "team"
    CUSTOMER = "customer"


@dataclass(frozen=True, slots=True)
class ClassPath:
    """A service class."""

    name: str


@dataclass(frozen=True, slots=True)
class CustomerPath:
    """A customer of a team or, with an empty team, of no team."""

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
    """The number of servers that should have a model loaded."""

    model: str


@dataclass(frozen=True, slots=True)
class OperatorPath:
    """An operator."""

    operator: str


@dataclass(frozen=True, slots=True)
class LimitPath:
    """A limit set above the teams, which a team cannot raise."""

    scope: LimitScope
    # Empty for the default.
    name: str = ""


@dataclass(frozen=True, slots=True)
class PolicyPath:
    """The placement policy."""


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
    """One error in a value."""

    # Position in the value, such as `rules.0.method`; empty for the value or path as a whole.
    field: str
    # What was expected there.
    expected: str


@dataclass(frozen=True, slots=True)
class SettingsError:
    """The errors in a setting."""

    path: str
    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        texts = (
            f"{problem.field}: {problem.expected}" if problem.field else problem.expected
            for problem in self.problems
        )
        return f"{self.path}: " + "; ".join(texts)


def parse_path(text: str) -> Result[SettingsPath, SettingsError]:
    """Return the parsed path, or an error that lists the valid forms."""
    if not text.startswith("/"):
        return _path_error(text, "a path that starts with '/'")
    parts = text[1:].split("/")
    for part in parts:
        if not _NAME.fullmatch(part) and not _is_limit_scope(parts):
            return _path_error(text, f"names made of {NAME_RULE}; got {part!r}")
    path = _path_from_parts(parts)
    if path is None:
        return _path_error(text, "one of the forms " + ", ".join(PATH_FORMS))
    return Success(path)


def is_in_subtree(subtree: str, path: str) -> bool:
    """Return whether a path is the root of a subtree or lies below it."""
    root = subtree.rstrip("/")
    return path == root or path.startswith(root + "/")


def is_subtree(text: str) -> bool:
    """Return whether a text is a subtree that can be granted to an operator."""
    if text == "/":
        return True
    parts = text[1:].split("/")
    has_valid_names = all(_NAME.fullmatch(part) for part in parts)
    return text.startswith("/") and (has_valid_names or _is_limit_scope(parts))


def _path_error(path: str, expected: str) -> Result[SettingsPath, SettingsError]:
    return Failure(SettingsError(path, (Problem("", f"expected {expected}"),)))


def _is_limit_scope(parts: list[str]) -> bool:
    return len(parts) == 2 and parts[0] == "limits" and _parse_limit_path(parts[1]) is not None


def _path_from_parts(parts: list[str]) -> SettingsPath | None:
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
            return _parse_limit_path(scope)
        case ["policy"]:
            return PolicyPath()
        case _:
            return None


def _parse_limit_path(text: str) -> LimitPath | None:
    if text == LimitScope.DEFAULT:
        return LimitPath(LimitScope.DEFAULT)
    scope, _, name = text.partition(":")
    if scope in (LimitScope.TEAM, LimitScope.CUSTOMER) and _NAME.fullmatch(name):
        return LimitPath(LimitScope(scope), name)
    return None
