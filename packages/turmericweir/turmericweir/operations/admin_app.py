"""The operators' HTTP interface: health, readiness, the state dump and settings.

The balancer requests `/readyz`, which becomes unready as soon as a graceful stop begins, while
callers are still served.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

import anyio
import orjson

from turmericweir.operations.dump import dump
from turmericweir.operations.operator_auth import OperatorAuth
from turmericweir.operations.operator_http import OperatorRequest, serve_operator
from turmericweir.process.node import Node
from turmericweir_core.membership.instance_versions import instance_versions

if TYPE_CHECKING:
    from uvicorn._types import (
        ASGI3Application,
        ASGIReceiveCallable,
        ASGISendCallable,
        Scope,
    )

SETTINGS_PREFIX: Final = "/settings"
_JSON: Final = b"application/json"


class AdminApp:
    """Answers requests of operators and the balancer."""

    _node: Node
    _auth: OperatorAuth
    # State of the adapters for the dump, by name.
    _views: Mapping[str, Callable[[], object]]
    # Answers everything below `/settings`; None without such an interface.
    _settings_app: ASGI3Application | None

    def __init__(
        self,
        node: Node,
        auth: OperatorAuth,
        views: Mapping[str, Callable[[], object]],
        settings_app: ASGI3Application | None = None,
    ) -> None:
        self._node = node
        self._auth = auth
        self._views = views
        self._settings_app = settings_app

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Answer one request."""
        assert scope["type"] == "http"
        path = scope["path"]
        if self._settings_app is not None and _is_below(path, SETTINGS_PREFIX):
            await self._settings_app(scope, receive, send)
        elif scope["method"] not in ("GET", "HEAD"):
            await send_json(send, 405, {"error": "use GET here"})
        elif path == "/healthz":
            await send_json(send, 200, {"healthy": True})
        elif path == "/readyz":
            await send_json(send, 200 if self._node.is_ready else 503, self._readiness())
        elif path == "/state":
            await serve_operator(scope, receive, send, self._answer_state)
        elif path == "/instances":
            await serve_operator(scope, receive, send, self._answer_instances)
        else:
            await send_json(send, 404, {"error": "there is nothing at this path"})

    async def _answer_state(self, request: OperatorRequest) -> None:
        """Answer with the state dump; for operators only, since it names customers."""
        self._auth.require_principal(self._node.state.config, request.headers)
        await send_json(request.send, HTTPStatus.OK, self._state())

    async def _answer_instances(self, request: OperatorRequest) -> None:
        self._auth.require_principal(self._node.state.config, request.headers)
        versions = instance_versions(self._node.state, anyio.current_time())
        await send_json(request.send, HTTPStatus.OK, {"instances": dump(versions)})

    def _readiness(self) -> dict[str, bool]:
        return {
            "ready": self._node.is_ready,
            "has_settings": self._node.state.has_settings,
            "stopping": self._node.is_stopping,
        }

    def _state(self) -> dict[str, Any]:
        state = dump(self._node.state)
        assert isinstance(state, dict)
        return {**state, "process": {name: dump(view()) for name, view in self._views.items()}}


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix + "/")


async def send_json(send: ASGISendCallable, status: int, value: object) -> None:
    """Send a JSON answer."""
    body = orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)
    headers = [(b"content-type", _JSON), (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})
