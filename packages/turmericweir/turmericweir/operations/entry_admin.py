"""The operators' HTTP interface where the platform stores the settings; it is read-only.

`turmericctl status`, `instances`, `duties`, `customers`, `state`, `classes` and `servers` use it.
The port is reachable only within the platform; if the settings file contains the digest of a token,
the token is required as well.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import asdict
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

import anyio

from turmericweir.operations.dump import dump
from turmericweir.operations.operator_http import OperatorRequest, ProblemError, serve_operator
from turmericweir.process.node import Node
from turmericweir_core.membership import membership, store_duty
from turmericweir_core.membership.instance_versions import instance_versions
from turmericweir_core.queueing import fair_share
from turmericweir_core.settings.settings_reach import reach_of_centres
from turmericweir_core.store import document
from turmericweir_core.streams import stream_bindings, stream_servers
from turmericweir_core.trust import retry, server_paths

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, ASGISendEvent, Scope

_BEARER: Final = b"bearer "
# The largest settings version that a query may name.
_OFFSET_MAX: Final = float(1 << 53)


class EntryAdmin:
    """Answers requests of operators."""

    _node: Node
    # State of the adapters for the dump, by name.
    _views: Mapping[str, Callable[[], object]]
    _is_ready: Callable[[], bool]
    # SHA-256 of the operators' token; if empty, no token is required.
    _token_sha256: str

    def __init__(
        self,
        node: Node,
        views: Mapping[str, Callable[[], object]],
        is_ready: Callable[[], bool],
        token_sha256: str,
    ) -> None:
        self._node = node
        self._views = views
        self._is_ready = is_ready
        self._token_sha256 = token_sha256

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Answer one request."""

        async def send_counted(message: ASGISendEvent) -> None:
            await send(message)
            if message["type"] == "http.response.body":
                # The client has to read it, until which it is held.
                self._node.memory.add(len(message["body"]))

        await serve_operator(scope, receive, send_counted, self._answer)

    async def _answer(self, request: OperatorRequest) -> None:
        self._check_token(request.headers)
        if request.method not in ("GET", "HEAD"):
            raise ProblemError(HTTPStatus.METHOD_NOT_ALLOWED, "this port only shows; use GET")
        match request.path:
            case "/readyz":
                await request.answer(HTTPStatus.OK, self._readiness())
            case "/state":
                self._check_memory()
                await request.answer(HTTPStatus.OK, self._state())
            case "/instances":
                versions = instance_versions(self._node.state, anyio.current_time())
                await request.answer(HTTPStatus.OK, {"instances": dump(versions)})
            case "/customers":
                rows = fair_share.describe(self._node.state, anyio.current_time())
                await request.answer(HTTPStatus.OK, {"customers": dump(rows)})
            case "/duties":
                await request.answer(HTTPStatus.OK, self._duties())
            case "/settings/inforce":
                await request.answer(HTTPStatus.OK, self._in_force(request))
            case _:
                raise ProblemError(HTTPStatus.NOT_FOUND, "there is nothing at this path")

    def _check_memory(self) -> None:
        """Refuse a large answer while memory is short."""
        if self._node.memory.is_short:
            raise ProblemError(HTTPStatus.SERVICE_UNAVAILABLE, "memory is short; ask again later")

    def _check_token(self, headers: Mapping[bytes, bytes]) -> None:
        if not self._token_sha256:
            return
        value = headers.get(b"authorization", b"")
        token = value[len(_BEARER) :].strip() if value[: len(_BEARER)].lower() == _BEARER else b""
        if hashlib.sha256(token).hexdigest() != self._token_sha256:
            raise ProblemError(HTTPStatus.UNAUTHORIZED, "expected the operators' bearer token")

    def _readiness(self) -> dict[str, bool]:
        return {
            "ready": self._is_ready(),
            "has_settings": self._node.state.has_settings,
            "stopping": self._node.is_stopping,
        }

    def _duties(self) -> dict[str, Any]:
        state = self._node.state
        if state.duties is None:
            raise ProblemError(HTTPStatus.NOT_FOUND, "this platform has no duties")
        # Imported only if there are duties.
        from turmericweir_core.duties.duty_view import duty_view

        return {"duties": dump(duty_view(state, anyio.current_time()))}

    def _state(self) -> dict[str, Any]:
        state = self._node.state
        now = anyio.current_time()
        dumped = dump(state)
        assert isinstance(dumped, dict)
        derived = {
            "settings_version": state.settings_offset(),
            "store_era": state.eras.current,
            "store_era_settled": state.eras.settled,
            "key_proof_age_s": document.proof_age_s(state, now),
            "servers_read_age_s": now - state.registry.read_at,
            "reads_the_store": store_duty.is_store_reader(state, now),
            "store_readers": [instance.name for instance in store_duty.store_readers(state, now)],
            "live_instances": [instance.name for instance in membership.live_instances(state, now)],
            "software_versions": stream_servers.describe_versions(state),
            "streams": stream_bindings.describe(state, state.me.name),
            "indirect_paths": server_paths.indirect_paths(state, now),
            "retries": {name: retry.describe(state, now, name) for name in state.queues.targets},
        }
        views = {name: dump(view()) for name, view in self._views.items()}
        return {**dumped, "beliefs": dump(derived), "process": views}

    def _in_force(self, request: OperatorRequest) -> dict[str, Any]:
        state = self._node.state
        now = anyio.current_time()
        offset = request.number("offset", state.settings_offset(), _OFFSET_MAX)
        centres = reach_of_centres(
            now,
            int(offset),
            centres=membership.data_centre_views(state, now),
            not_live=[
                item
                for item in state.members.by_name.values()
                if not membership.is_live(state, now, item)
            ],
            named={server.entry.data_centre for server in state.servers.by_name.values()},
        )
        return {"data_centres": [asdict(item) for item in centres]}
