"""Calls to backend servers outside callers' requests: load probes and orders.

Engines and plain services send nearly the same load reports; the fields that a plain service omits
have defaults.
"""

from __future__ import annotations

from typing import Any, Final

import anyio
import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmericweir.process import logs
from turmericweir.process.errors import CallError
from turmericweir.process.node import Node
from turmericweir.servers.backend_call import Answer, call
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import ProbeServer, RetireConnections, SendOrder
from turmericweir_core.messages.events import OrderDone, ServerReport, ServerUnreachable

_LOAD_TIMEOUT_S: Final = 1.0
_STALE_FENCE_STATUS: Final = 409


class LoadBody(BaseModel):
    """A load report as an engine or a plain service sends it."""

    # Other releases of a server may send more fields.
    model_config = ConfigDict(extra="ignore", frozen=True)

    incarnation: str
    seq: int
    running: int = Field(ge=0)
    waiting: int = Field(default=0, ge=0)
    # Batch size of an engine, and request limit of a plain service.
    slots: int | None = Field(default=None, gt=0)
    limit: int | None = Field(default=None, gt=0)
    kv_used: int = 0
    kv_total: int = 0
    models: tuple[str, ...] = ()
    leaving: bool = False
    fence: int | None = None
    loading: tuple[str, ...] = ()


class ServerCalls:
    """Makes the calls in the background and sends the results to the reducer."""

    _node: Node
    _pool: BackendPool
    # Servers with a running probe, which get no second one.
    _probing: set[ServerName]

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool
        self._probing = set()

    def attach(self, node: Node) -> None:
        """Set the node, which is created after its adapters."""
        self._node = node

    def probe(self, effect: ProbeServer) -> None:
        """Request the load of a server in the background."""
        if effect.server not in self._probing:
            self._probing.add(effect.server)
            self._node.run_in_background(self._probe, effect)

    async def _probe(self, effect: ProbeServer) -> None:
        probe_sent_at = anyio.current_time()
        try:
            answer = await call(
                self._pool,
                b"GET",
                effect.address,
                "/v1/load",
                timeout_s=_LOAD_TIMEOUT_S,
                needs_new_connection=True,
                traffic=self._node.traffic.probes,
            )
            self._node.handle(_read_report(effect, answer, probe_sent_at))
        except CallError as exc:
            self._node.handle(ServerUnreachable(effect.server, str(exc)))
        finally:
            self._probing.discard(effect.server)

    def retire_connections(self, effect: RetireConnections) -> None:
        """Stop reusing the connections that are open to a server now."""
        self._pool.retire_connections(effect.address)

    def order(self, effect: SendOrder) -> None:
        """Send an order to a server in the background."""
        self._node.run_in_background(self._order, effect)

    async def _order(self, effect: SendOrder) -> None:
        value: dict[str, Any] = {
            "kind": effect.kind,
            "model": effect.model,
            "version": effect.version,
            "fence": effect.fence,
        }
        if effect.adapter:
            value["adapter"] = effect.adapter
        if effect.role:
            value["role"] = effect.role
        try:
            answer = await self._send_order(effect, value)
        except CallError as exc:
            self._node.handle(OrderDone(effect.server, effect.token, False, False, str(exc)))
            return
        order_done = OrderDone(
            effect.server,
            effect.token,
            is_accepted=answer.status == 200,
            stale_fence=answer.status == _STALE_FENCE_STATUS,
            error="" if answer.status == 200 else f"status {answer.status}",
        )
        self._node.handle(order_done)

    async def _send_order(self, effect: SendOrder, value: dict[str, Any]) -> Answer:
        # The process may have been suspended since the reducer checked the lease.
        remaining_s = effect.not_after - anyio.current_time()
        if remaining_s <= 0:
            raise CallError(
                "order", effect.address, "the lease expired before sending", was_sent=False
            )
        return await call(
            self._pool,
            b"POST",
            effect.address,
            "/v1/orders",
            value=value,
            timeout_s=min(effect.timeout_s, remaining_s),
            needs_new_connection=True,
        )


def _read_report(effect: ProbeServer, answer: Answer, probe_sent_at: float) -> ServerReport:
    """Return the validated report; raise CallError for an unusable one."""
    server, address = effect.server, effect.address
    if answer.status != 200:
        raise CallError("load report", address, f"status {answer.status}", was_sent=True)
    try:
        body = LoadBody.model_validate(answer.json())
    except (ValidationError, orjson.JSONDecodeError) as exc:
        logs.write("bad_load_report", peer=server, error=str(exc))
        raise CallError("load report", address, "the report is malformed", was_sent=True) from exc
    return ServerReport(
        server=server,
        incarnation=body.incarnation,
        seq=body.seq,
        running=body.running,
        waiting=body.waiting,
        slots=body.slots or body.limit or 1,
        kv_used=body.kv_used,
        kv_total=body.kv_total,
        models=body.models,
        leaving=body.leaving,
        fence=-1 if body.fence is None else body.fence,
        loading=body.loading,
        probe_sent_at=probe_sent_at,
    )
