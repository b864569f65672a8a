"""The complete application on the operators' port."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from turmericweir.operations import drain_app
from turmericweir.operations.admin_app import AdminApp
from turmericweir.operations.drain_app import DrainApp
from turmericweir.operations.operator_auth import OperatorAuth
from turmericweir.operations.settings_app import SettingsApp
from turmericweir.process.node import Node
from turmericweir.process.process_settings import AdminToken
from turmericweir.process.verdict_waiters import VerdictWaiters

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, Scope


class OperatorPort:
    """Passes each request to the application for its path."""

    _admin: AdminApp
    _drain: DrainApp

    def __init__(
        self,
        node: Node,
        views: Mapping[str, Callable[[], object]],
        verdict_waiters: VerdictWaiters,
        tokens: Iterable[AdminToken],
    ) -> None:
        auth = OperatorAuth(tokens)
        self._admin = AdminApp(node, auth, views, SettingsApp(node, verdict_waiters, auth))
        self._drain = DrainApp(node, auth)

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Answer one request."""
        assert scope["type"] == "http"
        is_drain = scope["path"].startswith(drain_app.PREFIX + "/")
        app = self._drain if is_drain else self._admin
        await app(scope, receive, send)
