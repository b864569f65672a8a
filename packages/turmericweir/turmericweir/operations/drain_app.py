"""The operators' interface for draining a backend server: `POST /drain/SERVER`.

A drained server receives no new requests from any instance and finishes the running ones. Operators
who may write `/servers/SERVER` in the settings may drain it.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from turmericweir.operations.operator_auth import OperatorAuth
from turmericweir.operations.operator_http import OperatorRequest, ProblemError, serve_operator
from turmericweir.process.node import Node
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.events import DrainRequested

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, Scope

PREFIX: Final = "/drain"


class DrainApp:
    """Answers drain requests of operators."""

    _node: Node
    _auth: OperatorAuth

    def __init__(self, node: Node, auth: OperatorAuth) -> None:
        self._node = node
        self._auth = auth

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Answer one request."""
        await serve_operator(scope, receive, send, self._answer)

    async def _answer(self, request: OperatorRequest) -> None:
        principal = self._auth.require_principal(self._node.state.config, request.headers)
        if request.method != "POST":
            raise ProblemError(HTTPStatus.METHOD_NOT_ALLOWED, "expected POST")
        name = ServerName(request.path.removeprefix(PREFIX).strip("/"))
        if not principal.can_write(f"/servers/{name}"):
            detail = f"{principal.name} does not hold /servers/{name}"
            raise ProblemError(HTTPStatus.FORBIDDEN, detail)
        server = self._node.state.servers.by_name.get(name)
        if server is None:
            raise ProblemError(HTTPStatus.NOT_FOUND, f"no server is called {name!r}")
        self._node.handle(DrainRequested(name, principal.name))
        value = {"server": name, "drained": True, "in_flight": len(server.in_flight)}
        await request.answer(HTTPStatus.OK, value)
