"""The operators' HTTP interface to the settings, below `/settings`.

    GET    /settings?prefix=PATH         list values with versions
    GET    /settings/PATH                return one value
    PUT    /settings/PATH                set a value
    DELETE /settings/PATH                delete a value
    POST   /settings/validate            return the verdicts on changes without making them
    GET    /settings/history?prefix=PATH list the verdicts on the last changes
    GET    /settings/changes/ID          return the verdict on one change
    GET    /settings/inforce?offset=N    list where the settings before N are in force

This module checks the token and the value of a change; the settings log determines the verdict. An
answer waits for the verdict until a time limit and is `pending` after that. A change that is sent
again with the same id, to any instance, gets the verdict on the first one.
"""

from __future__ import annotations

from dataclasses import asdict
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, TypeVar

import anyio
from anyio.abc import TaskStatus
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.pipeline import is_successful
from uuid6 import uuid7

from turmericweir.operations.operator_auth import TOKEN_EXPECTED, OperatorAuth, Principal
from turmericweir.operations.operator_http import OperatorRequest, ProblemError, serve_operator
from turmericweir.process.node import Node
from turmericweir.process.verdict_waiters import VerdictWaiters
from turmericweir_core.messages.events import ChangeSubmitted
from turmericweir_core.records.settings_model import SettingsEntry, read_value, validation_text
from turmericweir_core.records.settings_path import SettingsError, is_in_subtree, parse_path
from turmericweir_core.records.settings_verdict import (
    Accepted,
    Conflict,
    Forbidden,
    Invalid,
    Malformed,
    Repeated,
    Settlement,
    SnapshotMatched,
    SnapshotMismatched,
    SnapshotUnchecked,
    Verdict,
    VerdictKind,
    verdict_json,
)
from turmericweir_core.settings.settings_dry_run import dry_run_changes
from turmericweir_core.settings.settings_flow import reach_by_data_centre
from turmericweir_core.state.settings_state import state_digest
from turmericweir_core.state.settings_sync import SettingsSync

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, Scope

PREFIX: Final = "/settings"
WAIT_S: Final = 5.0
WAIT_MAX_S: Final = 30.0
OFFSET_MAX: Final = float(1 << 53)
PENDING: Final = "pending"
_HIDDEN_VALUE: Final = "hidden"
_SECRET_FIELD: Final = "token_sha256"

_STATUS_BY_VERDICT: Final[dict[VerdictKind, HTTPStatus]] = {
    VerdictKind.ACCEPTED: HTTPStatus.OK,
    VerdictKind.CONFLICT: HTTPStatus.CONFLICT,
    VerdictKind.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    VerdictKind.FORBIDDEN: HTTPStatus.FORBIDDEN,
    VerdictKind.NOT_APPENDED: HTTPStatus.SERVICE_UNAVAILABLE,
}


Body = TypeVar("Body", bound=BaseModel)


class ChangeBody(BaseModel):
    """The body of a request for a change."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    # Any: the model of the path validates it.
    value: Any = None
    # None for the current version of this instance.
    expected_version: int | None = Field(default=None, ge=0)
    # Chosen by the client. Prevents a change that is sent twice from being made twice.
    change_id: str | None = Field(default=None, pattern=r"^[A-Za-z0-9._-]{8,64}$")


class DryRunBody(BaseModel):
    """The body of a validation request: values by path, null for a deletion."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)

    settings: dict[str, Any]


class SettingsApp:
    """Answers requests to read or change settings."""

    _node: Node
    _verdict_waiters: VerdictWaiters
    _auth: OperatorAuth

    def __init__(self, node: Node, verdict_waiters: VerdictWaiters, auth: OperatorAuth) -> None:
        self._node = node
        self._verdict_waiters = verdict_waiters
        self._auth = auth

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Answer one request."""
        await serve_operator(scope, receive, send, self._answer)

    async def _answer(self, request: OperatorRequest) -> None:
        principal = self._auth.find_principal(self._node.state.config, request.headers)
        if principal is None:
            raise self._unauthorised()
        path = request.path.removeprefix(PREFIX)
        match request.method, path.split("/")[1:]:
            case "GET", [] | [""]:
                await self._list(request, principal)
            case "GET", ["history"]:
                await self._history(request)
            case "GET", ["inforce"]:
                await self._in_force(request)
            case "GET", ["changes", change_id]:
                await self._find_change(request, change_id)
            case "POST", ["validate"]:
                await self._validate(request)
            case "GET", _:
                await self._get(request, principal, path)
            case "PUT" | "DELETE", _:
                await self._change(request, principal, path)
            case _:
                detail = f"{request.method} is not possible at {request.path}"
                raise ProblemError(HTTPStatus.METHOD_NOT_ALLOWED, detail)

    def _unauthorised(self) -> ProblemError:
        if not self._node.state.has_settings:
            detail = "this instance has no settings yet, so it knows only the process file's tokens"
            return ProblemError(HTTPStatus.SERVICE_UNAVAILABLE, detail)
        return ProblemError(HTTPStatus.UNAUTHORIZED, TOKEN_EXPECTED)

    @property
    def _sync(self) -> SettingsSync:
        return self._node.state.settings

    # Reading.

    async def _list(self, request: OperatorRequest, principal: Principal) -> None:
        prefix = request.argument("prefix", "/")
        state = self._sync.settings
        entries = [
            _entry_value(principal, path, entry)
            for path, entry in sorted(state.entries.items())
            if is_in_subtree(prefix, path)
        ]
        value = {
            "offset": state.offset,
            "hash": state_digest(state),
            "ready": self._sync.has_been_complete,
            "entries": entries,
        }
        await request.answer(HTTPStatus.OK, value)

    async def _get(self, request: OperatorRequest, principal: Principal, path: str) -> None:
        _check_path(path)
        entry = self._sync.settings.entries.get(path)
        if entry is None:
            raise ProblemError(HTTPStatus.NOT_FOUND, f"nothing is set at {path}")
        value = _entry_value(principal, path, entry)
        await request.answer(HTTPStatus.OK, {**value, "offset": self._sync.settings.offset})

    async def _history(self, request: OperatorRequest) -> None:
        prefix = request.argument("prefix", "/")
        history = [
            verdict_json(verdict)
            for verdict in self._sync.settings.history
            if prefix == "/" or is_in_subtree(prefix, _path_of(verdict))
        ]
        value = {"offset": self._sync.settings.offset, "history": history}
        await request.answer(HTTPStatus.OK, value)

    async def _in_force(self, request: OperatorRequest) -> None:
        offset = int(request.number("offset", self._sync.settings.offset, OFFSET_MAX))
        centres = reach_by_data_centre(self._node.state, anyio.current_time(), offset)
        value = {"offset": offset, "data_centres": [asdict(centre) for centre in centres]}
        await request.answer(HTTPStatus.OK, value)

    async def _find_change(self, request: OperatorRequest, change_id: str) -> None:
        if change_id in self._sync.pending:
            await _answer_pending(request, change_id)
            return
        for verdict in self._sync.settings.history:
            if not isinstance(verdict, Repeated) and _change_id_of(verdict) == change_id:
                await request.answer(HTTPStatus.OK, verdict_json(verdict))
                return
        outcome = self._sync.settings.judged_changes.get(change_id)
        if outcome is None:
            raise ProblemError(HTTPStatus.NOT_FOUND, "this instance knows no change of that id")
        value = {"verdict": outcome.kind.value, "change_id": change_id, "offset": outcome.offset}
        await request.answer(HTTPStatus.OK, value)

    async def _validate(self, request: OperatorRequest) -> None:
        body = _read_body(DryRunBody, await request.json())
        verdicts = [
            verdict_json(verdict) for verdict in dry_run_changes(self._sync.settings, body.settings)
        ]
        is_valid = all(verdict["verdict"] == VerdictKind.ACCEPTED.value for verdict in verdicts)
        result_keys = ("verdict", "path", "problems")
        results = [
            {key: verdict[key] for key in result_keys if key in verdict} for verdict in verdicts
        ]
        await request.answer(HTTPStatus.OK, {"valid": is_valid, "results": results})

    # Changing.

    async def _change(self, request: OperatorRequest, principal: Principal, path: str) -> None:
        body = _read_body(ChangeBody, await request.json() or {})
        _check_path(path)
        if not principal.can_write(path):
            writable_paths = ", ".join(principal.paths)
            detail = f"{principal.name} may write below {writable_paths}; not at {path}"
            extra = {
                "verdict": VerdictKind.FORBIDDEN.value,
                "path": path,
                "operator": principal.name,
            }
            raise ProblemError(HTTPStatus.FORBIDDEN, detail, extra)
        value = _read_change_value(request, path, body)
        event = ChangeSubmitted(
            change_id=body.change_id or str(uuid7()),
            path=path,
            expected_version=_expected_version(request, body),
            value=value,
            operator=principal.name,
        )
        verdict = await self._submit(event, request.number("wait_s", WAIT_S, WAIT_MAX_S))
        if verdict is None:
            await _answer_pending(request, event.change_id)
        else:
            await _answer_verdict(request, verdict)

    async def _submit(self, event: ChangeSubmitted, wait_s: float) -> Settlement | None:
        """Send a change to the reducer and wait for the verdict; None after the time limit.

        Waiting starts first, since the verdict on a repeated change arrives while the reducer
        handles it.
        """
        verdicts: list[Settlement | None] = []
        async with anyio.create_task_group() as group:
            await group.start(self._wait_for_verdict, event.change_id, wait_s, verdicts)
            self._node.handle(event)
        return verdicts[0]

    async def _wait_for_verdict(
        self,
        change_id: str,
        wait_s: float,
        verdicts: list[Settlement | None],
        *,
        task_status: TaskStatus[None],
    ) -> None:
        task_status.started()
        verdicts.append(await self._verdict_waiters.wait(change_id, wait_s))


def _read_change_value(request: OperatorRequest, path: str, body: ChangeBody) -> Any:
    if request.method == "DELETE":
        return None
    result = read_value(path, body.value)
    if not is_successful(result):
        raise _problem_of(result.failure())
    return body.value


def _expected_version(request: OperatorRequest, body: ChangeBody) -> int | None:
    header = request.headers.get(b"if-match")
    if header is None:
        return body.expected_version
    try:
        return int(header.strip(b'"'))
    except ValueError:
        detail = 'If-Match: expected a version such as "12"'
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail) from None


def _check_path(path: str) -> None:
    result = parse_path(path)
    if not is_successful(result):
        raise _problem_of(result.failure())


def _problem_of(error: SettingsError) -> ProblemError:
    extra = {"verdict": VerdictKind.INVALID.value, **asdict(error)}
    return ProblemError(HTTPStatus.UNPROCESSABLE_ENTITY, str(error), extra)


def _read_body(model: type[Body], raw: Any) -> Body:
    try:
        return model.model_validate(raw)
    except ValidationError as exc:
        error = exc.errors(include_url=False, include_context=False, include_input=False)[0]
        field = ".".join(str(part) for part in error["loc"])
        detail = f"the body: {field}: {validation_text(error['type'], error['msg'])}"
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail) from None


def _entry_value(principal: Principal, path: str, entry: SettingsEntry) -> dict[str, Any]:
    value = dict(entry.written)
    # Only operators who may replace a token see its digest, from which a short one could be found.
    if _SECRET_FIELD in value and not principal.can_write(path):
        value[_SECRET_FIELD] = _HIDDEN_VALUE
    return {
        "path": path,
        "version": entry.version,
        "value": value,
        "operator": entry.operator,
        "at": entry.at,
    }


def _path_of(verdict: Verdict) -> str:
    match verdict:
        case Accepted() | Conflict() | Invalid() | Forbidden() | Repeated():
            return verdict.subject.path
        case Malformed() | SnapshotMatched() | SnapshotMismatched() | SnapshotUnchecked():
            return ""


def _change_id_of(verdict: Verdict) -> str | None:
    match verdict:
        case Accepted() | Conflict() | Invalid() | Forbidden() | Repeated():
            return verdict.subject.change_id
        case Malformed() | SnapshotMatched() | SnapshotMismatched() | SnapshotUnchecked():
            return None


async def _answer_pending(request: OperatorRequest, change_id: str) -> None:
    await request.answer(HTTPStatus.ACCEPTED, {"verdict": PENDING, "change_id": change_id})


async def _answer_verdict(request: OperatorRequest, verdict: Settlement) -> None:
    value = verdict_json(verdict)
    if isinstance(verdict, Repeated):
        # A repeated change is answered with the first verdict.
        value |= {"verdict": verdict.first.value, "offset": verdict.first_offset}
    await request.answer(_STATUS_BY_VERDICT[VerdictKind(value["verdict"])], value)
