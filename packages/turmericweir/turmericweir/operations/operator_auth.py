"""Who asks on the operators' port, by bearer token.

Operators of the process file hold tokens that work before any settings do, since without them
nobody could write the first operator. All others stand below `/operators` in the settings.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from turmericweir.operations.operator_http import ProblemError
from turmericweir_core.base.config import Config
from turmericweir_core.records.settings_path import covers
from turmericweir_core.settings.settings_changes import BOOTSTRAP_PREFIX

if TYPE_CHECKING:
    from turmericweir.process.process_settings import AdminToken

TOKEN_EXPECTED: Final = "expected the bearer token of an operator"
_BEARER: Final = b"bearer "


@dataclass(frozen=True, slots=True)
class Principal:
    """An operator who has shown a token."""

    # As records of changes name it.
    name: str
    paths: tuple[str, ...]

    def holds(self, path: str) -> bool:
        """Tell whether a path lies in one of the operator's subtrees."""
        return any(covers(subtree, path) for subtree in self.paths)


class OperatorAuth:
    """Finds operators by their tokens."""

    # Operators of the process file by token digest.
    _bootstrap: dict[str, Principal]

    def __init__(self, tokens: Iterable[AdminToken]) -> None:
        self._bootstrap = {
            token.token_sha256: Principal(BOOTSTRAP_PREFIX + token.name, token.paths)
            for token in tokens
        }

    def require(self, config: Config, headers: Mapping[bytes, bytes]) -> Principal:
        """Find the operator whose token a request carries, or raise `ProblemError`."""
        principal = self.find(config, headers)
        if principal is None:
            raise ProblemError(HTTPStatus.UNAUTHORIZED, TOKEN_EXPECTED)
        return principal

    def find(self, config: Config, headers: Mapping[bytes, bytes]) -> Principal | None:
        """Find the operator whose token a request carries."""
        value = headers.get(b"authorization", b"")
        if value[: len(_BEARER)].lower() != _BEARER:
            return None
        digest = hashlib.sha256(value[len(_BEARER) :].strip()).hexdigest()
        known = self._bootstrap.get(digest)
        if known is not None:
            return known
        for operator in config.operators.values():
            if operator.token_digest == digest:
                return Principal(operator.name, operator.paths)
        return None
