"""The platform's protocol: log streams, the list of instances, the weight store.

The settings stream is followed all the time and the list is read at intervals; everything else is
done when the reducer asks for it. All results go to the reducer as events; it decides what a
failure means.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Final, Literal, TypeVar

import anyio
from pydantic import BaseModel, ConfigDict

from turmericweir.process import logs
from turmericweir.process.errors import CallError
from turmericweir.process.node import Node
from turmericweir.servers.backend_call import Answer, call
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.membership.membership import list_period
from turmericweir_core.messages.effects import AppendRecords, AskWeights, ReadLog
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    ListedInstance,
    ListRead,
    LogExpired,
    LogFailed,
    LogRead,
    LogRecord,
    WeightsAnswered,
)
from turmericweir_core.state.settings_sync import settings_read_offset

Parsed = TypeVar("Parsed")

SETTINGS: Final = "settings"
# Records of one read.
READ_MAX: Final = 1000
_CALL_TIMEOUT_S: Final = 3.0
_BACKOFF_FIRST_S: Final = 0.1
_BACKOFF_MAX_S: Final = 2.0
_EXPIRED: Final = 410
_TOO_MANY: Final = 429
_RETRY_AFTER_S: Final = 1.0


class _Body(BaseModel):
    # A later release of the platform may say more than this one reads.
    model_config = ConfigDict(extra="ignore", frozen=True)


class AppendBody(_Body):
    """The answer to an append."""

    first: int
    end: int


class RecordBody(_Body):
    """One record of a read."""

    offset: int
    # Any: the reducer of the stream validates it.
    value: Any


class ReadBody(_Body):
    """The answer to a read."""

    records: tuple[RecordBody, ...]
    end: int


class ExpiredBody(_Body):
    """The answer to a read of what is not kept any more."""

    oldest: int
    end: int


class InstanceBody(_Body):
    """One entry of the list of instances."""

    name: str
    kind: Literal["entry", "engine", "plain"]
    service: str = ""
    data_centre: str
    address: str
    peer_address: str | None = None
    incarnation: str = ""
    state: Literal["live", "leaving"]


class ListBody(_Body):
    """The list of instances."""

    instances: tuple[InstanceBody, ...]


class Backoff:
    """Waits longer after each failure in a row, with jitter.

    Without jitter all instances, which saw the outage end together, would ask together.
    """

    # Failures in a row.
    _failures: int
    _rng: Random

    def __init__(self, rng: Random) -> None:
        self._failures = 0
        self._rng = rng

    @property
    def failing(self) -> bool:
        """Whether the last try failed."""
        return self._failures > 0

    def reset(self) -> None:
        """Note a success."""
        self._failures = 0

    async def wait(self) -> None:
        """Wait after a failure."""
        longest = min(_BACKOFF_MAX_S, _BACKOFF_FIRST_S * 2.0**self._failures)
        self._failures = min(self._failures + 1, 10)
        await anyio.sleep(longest * (0.5 + self._rng.random() / 2))


class PlatformClient:
    """Speaks to the platform."""

    _node: Node
    _pool: BackendPool
    _address: str
    # Sent with each call.
    _source: tuple[tuple[bytes, bytes], ...]
    _rng: Random
    # Streams that are being read out of turn, and the read that is wanted after that.
    _reading: dict[str, ReadLog | None]

    def __init__(self, pool: BackendPool, address: str, source: str) -> None:
        self._pool = pool
        self._address = address
        self._source = ((b"x-instance", source.encode("ascii")),)
        self._rng = Random()
        self._reading = {}

    def attach(self, node: Node) -> None:
        """Take the node whose effects these are; it is made after its adapters."""
        self._node = node

    async def _call(
        self, method: bytes, target: str, *, value: object = None, timeout_s: float
    ) -> Answer:
        return await call(
            self._pool,
            method,
            self._address,
            target,
            value=value,
            headers=self._source,
            timeout_s=timeout_s,
            traffic=self._node.traffic.platform,
        )

    def _bad(self, step: str, detail: str) -> CallError:
        return CallError(step, self._address, detail, sent=True)

    # Appends.

    def append(self, effect: AppendRecords) -> None:
        """Append records in the background."""
        self._node.in_background(self._append, effect)

    async def _append(self, effect: AppendRecords) -> None:
        target = f"/log/{effect.stream}/append"
        value = {"records": list(effect.records)}
        try:
            answer = await self._call(b"POST", target, value=value, timeout_s=_CALL_TIMEOUT_S)
        except CallError as exc:
            self._append_failed(effect, str(exc), maybe=exc.sent)
            return
        if answer.status != 200:
            # Only a 4xx says that the platform has looked at the append and turned it down.
            refused = 400 <= answer.status < 500
            self._append_failed(effect, f"status {answer.status}", maybe=not refused)
            return
        try:
            body = AppendBody.model_validate(answer.json())
        except ValueError as exc:
            self._append_failed(effect, str(exc), maybe=True)
            return
        self._node.handle(AppendDone(effect.stream, effect.token, body.first, body.end))

    def _append_failed(self, effect: AppendRecords, error: str, *, maybe: bool) -> None:
        self._node.handle(AppendFailed(effect.stream, effect.token, error, maybe))

    # Reads.

    async def follow_settings(self) -> None:
        """Follow the settings stream from wherever this instance's settings stand."""
        backoff = Backoff(self._rng)
        while True:
            offset = self._settings_offset()
            event = await self._read(SETTINGS, offset, self._node.state.options.poll_wait_s)
            self._node.handle(event)
            stuck = self._settings_offset() == offset
            if isinstance(event, LogRead) and not (event.records and stuck):
                backoff.reset()
            else:
                # A failed read, or records that do not bring the settings on: reading them again
                # at once would only turn in a circle.
                await backoff.wait()

    def _settings_offset(self) -> int:
        # Not the offset of the settings in force: where the next record has expired, reading has
        # to go on beyond the gap. A new instance would else ask for that record for ever, and its
        # callers would be refused.
        return settings_read_offset(self._node.state.settings)

    def read(self, effect: ReadLog) -> None:
        """Read a stream out of turn, in the background; one read of a stream at a time."""
        if effect.stream in self._reading:
            self._reading[effect.stream] = effect
            return
        self._reading[effect.stream] = None
        self._node.in_background(self._read_out_of_turn, effect)

    async def _read_out_of_turn(self, effect: ReadLog) -> None:
        stream = effect.stream
        again: ReadLog | None = effect
        try:
            while again is not None:
                limit = READ_MAX if again.limit is None else again.limit
                event = await self._read(stream, again.offset, 0.0, limit)
                self._reading[stream] = None
                self._node.handle(event)
                again = self._reading[stream]
        finally:
            del self._reading[stream]

    async def _read(
        self, stream: str, offset: int, wait_s: float, limit: int = READ_MAX
    ) -> LogRead | LogExpired | LogFailed:
        wait_ms = int(wait_s * 1000)
        target = f"/log/{stream}?from={offset}&limit={limit}&wait_ms={wait_ms}"
        try:
            answer = await self._call(b"GET", target, timeout_s=wait_s + _CALL_TIMEOUT_S)
            return self._read_answer(stream, answer)
        except CallError as exc:
            return LogFailed(stream, str(exc))

    def _read_answer(self, stream: str, answer: Answer) -> LogRead | LogExpired:
        if answer.status == _EXPIRED:
            expired = self._parse("read log", ExpiredBody.model_validate, answer)
            return LogExpired(stream, expired.oldest, expired.end)
        if answer.status != 200:
            raise self._bad("read log", f"status {answer.status}")
        body = self._parse("read log", ReadBody.model_validate, answer)
        records = tuple(LogRecord(each.offset, each.value) for each in body.records)
        return LogRead(stream, records, body.end)

    def _parse(self, step: str, validate: Callable[[Any], Parsed], answer: Answer) -> Parsed:
        try:
            return validate(answer.json())
        except ValueError as exc:
            raise self._bad(step, str(exc)) from exc

    # The list of instances.

    async def follow_list(self) -> None:
        """Read the list of instances again and again."""
        backoff = Backoff(self._rng)
        while True:
            try:
                self._node.handle(await self._read_list())
            except CallError as exc:
                if not backoff.failing:
                    # Only the first of a row: an outage may be long.
                    logs.write("list_unread", step=exc.step, peer=exc.peer, error=exc.detail)
                await backoff.wait()
            else:
                backoff.reset()
                await anyio.sleep(list_period(self._node.state))

    async def _read_list(self) -> ListRead:
        answer = await self._call(b"GET", "/instances", timeout_s=_CALL_TIMEOUT_S)
        if answer.status != 200:
            raise self._bad("read list", f"status {answer.status}")
        body = self._parse("read list", ListBody.model_validate, answer)
        servers = tuple(_server(each) for each in body.instances if each.kind != "entry")
        instances = tuple(_instance(each) for each in body.instances if each.kind == "entry")
        return ListRead(servers, instances)

    # The weight store.

    def ask_weights(self, effect: AskWeights) -> None:
        """Ask for leave to load a model, in the background."""
        self._node.in_background(self._ask_weights, effect)

    async def _ask_weights(self, effect: AskWeights) -> None:
        value = {"model": effect.model, "version": effect.version}
        retry_after_s = _RETRY_AFTER_S
        granted = False
        try:
            answer = await self._call(
                b"POST", "/weights/grant", value=value, timeout_s=_CALL_TIMEOUT_S
            )
        except CallError as exc:
            logs.write("weights_unanswered", step=exc.step, peer=exc.peer, error=exc.detail)
        else:
            granted = answer.status == 200
            if answer.status == _TOO_MANY:
                retry_after_s = _retry_after(answer)
        event = WeightsAnswered(
            effect.model, effect.version, granted, 0.0 if granted else retry_after_s
        )
        self._node.handle(event)


def _retry_after(answer: Answer) -> float:
    try:
        return max(0.0, float(answer.headers.get(b"retry-after", b"")))
    except ValueError:
        return _RETRY_AFTER_S


def _server(body: InstanceBody) -> ServerEntry:
    return ServerEntry(
        name=ServerName(body.name),
        service=body.service,
        data_centre=body.data_centre,
        address=body.address,
        incarnation=body.incarnation,
        leaving=body.state == "leaving",
    )


def _instance(body: InstanceBody) -> ListedInstance:
    return ListedInstance(
        name=InstanceName(body.name),
        data_centre=body.data_centre,
        peer_address=body.peer_address or "",
        incarnation=body.incarnation,
        leaving=body.state == "leaving",
    )
