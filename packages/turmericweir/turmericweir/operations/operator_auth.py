"""Authentication on the operators' port, by bearer token.

Tokens from the process's settings file are valid before there are settings, which allows creating
the first operator. All other operators are below `/operators` in the settings.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from turmericweir.operations.operator_http import ProblemError
from turmericweir_core.base.config import Config
from turmericweir_core.records.settings_path import is_in_subtree
from turmericweir_core.settings.settings_changes import BOOTSTRAP_PREFIX

if TYPE_CHECKING:
    from turmericweir.process.process_settings import AdminToken

TOKEN_EXPECTED: Final = "expected the bearer token of an operator"
_BEARER: Final = b"bearer "


@dataclass(frozen=True, slots=True)
class Principal:
    """An authenticated operator."""

    # The name in the records of changes.
    name: str
    paths: tuple[str, ...]

    def can_write(self, path: str) -> bool:
        """Return whether a path is in one of the operator's subtrees."""
        return any(is_in_subtree(subtree, path) for subtree in self.paths)


class OperatorAuth:
    """Identifies operators by their tokens."""

    # Operators of the process's settings file by token digest.
    _bootstrap: dict[str, Principal]

    def __init__(self, tokens: Iterable[AdminToken]) -> None:
        self._bootstrap = {
            token.token_sha256: Principal(BOOTSTRAP_PREFIX + token.name, token.paths)
            for token in tokens
        }

    def require_principal(self, config: Config, headers: Mapping[bytes, bytes]) -> Principal:
        """Return the operator whose token a request contains; raise ProblemError without one."""
        principal = self.find_principal(config, headers)
        if principal is None:
            raise ProblemError(HTTPStatus.UNAUTHORIZED, TOKEN_EXPECTED)
        return principal

    def find_principal(self, config: Config, headers: Mapping[bytes, bytes]) -> Principal | None:
        """Return the operator whose token a request contains; None without one."""
        value = headers.get(b"authorization", b"")
        if value[: len(_BEARER)].lower() != _BEARER:
            return None
        digest = hashlib.sha256(value[len(_BEARER) :].strip()).hexdigest()
        bootstrap_operator = self._bootstrap.get(digest)
        if bootstrap_operator is not None:
            return bootstrap_operator
        for operator in config.operators.values():
            if operator.token_digest == digest:
                return Principal(operator.name, operator.paths)
        return None
