"""The client of the platform: log streams, the list of instances, permits to load models.

The client follows the settings stream, reads the list of instances periodically and executes the
reducer's effects. Results and failures are passed to the reducer as events.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Final, Literal, TypeVar

import anyio
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmericweir.process import logs
from turmericweir.process.errors import CallError
from turmericweir.process.node import Node
from turmericweir.process.process_settings import Address
from turmericweir.servers.backend_call import STORE_ANSWER_MAX_BYTES, Answer, call
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.membership.membership import list_period_s
from turmericweir_core.messages.effects import AppendRecords, ReadLog, RequestLoadPermit
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

ParsedBody = TypeVar("ParsedBody")

SETTINGS_STREAM_NAME: Final = "settings"
# The maximum number of records of one read, unless the effect has a limit.
READ_RECORDS_MAX: Final = 1000
_CALL_TIMEOUT_S: Final = 3.0
_BACKOFF_FIRST_S: Final = 0.1
_BACKOFF_MAX_S: Final = 2.0
_STATUS_EXPIRED: Final = 410
_STATUS_TOO_MANY_REQUESTS: Final = 429
_DEFAULT_RETRY_AFTER_S: Final = 1.0


class _ResponseBody(BaseModel):
    # Later releases of the platform may add fields.
    model_config = ConfigDict(extra="ignore", frozen=True)


class AppendBody(_ResponseBody):
    """The answer to an append."""

    first: int
    end: int


class RecordBody(_ResponseBody):
    """One record of a read."""

    offset: int
    # Any: the reducer of the stream validates it.
    value: Any


class ReadBody(_ResponseBody):
    """The answer to a read."""

    records: tuple[RecordBody, ...]
    end: int


class ExpiredBody(_ResponseBody):
    """The answer to a read of records that have expired."""

    oldest: int
    end: int


class InstanceBody(_ResponseBody):
    """One entry of the list of instances."""

    name: str = Field(min_length=1)
    kind: Literal["entry", "engine", "plain"]
    service: str = ""
    data_centre: str
    address: Address
    peer_address: Address | None = None
    incarnation: str = ""
    # Version of the software of an engine or a plain server.
    software_version: str = ""
    state: Literal["live", "leaving"]


class ListBody(_ResponseBody):
    """The list of instances."""

    # Any: each is validated by itself, as one that is malformed says nothing of the others.
    instances: tuple[Any, ...]


class Backoff:
    """Exponential delays between retries, with jitter.

    The jitter prevents all instances from retrying at the same time after an outage.
    """

    _consecutive_failures: int
    _rng: Random

    def __init__(self, rng: Random) -> None:
        self._consecutive_failures = 0
        self._rng = rng

    @property
    def is_failing(self) -> bool:
        """Whether the last attempt failed."""
        return self._consecutive_failures > 0

    def reset(self) -> None:
        """Reset the delay after a success."""
        self._consecutive_failures = 0

    async def wait(self) -> None:
        """Wait after a failure, longer after each consecutive one."""
        max_wait_s = min(_BACKOFF_MAX_S, _BACKOFF_FIRST_S * 2.0**self._consecutive_failures)
        self._consecutive_failures = min(self._consecutive_failures + 1, 10)
        await anyio.sleep(max_wait_s * (0.5 + self._rng.random() / 2))


class PlatformClient:
    """Follows the platform's streams and lists, and executes effects on the platform."""

    _node: Node
    _pool: BackendPool
    _address: str
    # The header of each call that identifies this instance.
    _source_header: tuple[tuple[bytes, bytes], ...]
    # The error of the first unreadable entry in the last list; empty if there was none.
    _list_error: str
    _rng: Random
    # Streams that are being read for an effect, and the effect to execute next.
    _stream_reads: dict[str, ReadLog | None]

    def __init__(self, pool: BackendPool, address: str, source: str) -> None:
        self._pool = pool
        self._address = address
        self._source_header = ((b"x-instance", source.encode()),)
        self._list_error = ""
        self._rng = Random()
        self._stream_reads = {}

    def attach(self, node: Node) -> None:
        """Set the node that receives the events; it is created after its adapters."""
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
            headers=self._source_header,
            timeout_s=timeout_s,
            traffic=self._node.traffic.platform,
            max_bytes=STORE_ANSWER_MAX_BYTES,
        )

    def _protocol_error(self, step: str, detail: str) -> CallError:
        return CallError(step, self._address, detail, was_sent=True)

    # Appends.

    def append(self, effect: AppendRecords) -> None:
        """Append records in the background."""
        self._node.run_in_background(self._append, effect)

    async def _append(self, effect: AppendRecords) -> None:
        target = f"/log/{effect.stream}/append"
        value = {"records": list(effect.records)}
        try:
            answer = await self._call(b"POST", target, value=value, timeout_s=_CALL_TIMEOUT_S)
        except CallError as exc:
            self._append_failed(effect, str(exc), may_have_applied=exc.was_sent)
            return
        if answer.status != 200:
            # Only a 4xx status proves that the platform has rejected the append.
            is_rejected = 400 <= answer.status < 500
            self._append_failed(effect, f"status {answer.status}", may_have_applied=not is_rejected)
            return
        try:
            body = AppendBody.model_validate(answer.json())
        except ValueError as exc:
            self._append_failed(effect, str(exc), may_have_applied=True)
            return
        self._node.handle(AppendDone(effect.stream, effect.token, body.first, body.end))

    def _append_failed(self, effect: AppendRecords, error: str, *, may_have_applied: bool) -> None:
        self._node.handle(AppendFailed(effect.stream, effect.token, error, may_have_applied))

    # Reads.

    async def follow_settings(self) -> None:
        """Follow the settings stream from this instance's settings offset."""
        backoff = Backoff(self._rng)
        while True:
            offset = self._settings_offset()
            event = await self._read(
                SETTINGS_STREAM_NAME, offset, self._node.state.options.poll_wait_s
            )
            self._node.handle(event)
            has_not_advanced = self._settings_offset() == offset
            if isinstance(event, LogRead) and not (event.records and has_not_advanced):
                backoff.reset()
            else:
                # Prevents a busy loop after a failed read or after records without effect.
                await backoff.wait()

    def _settings_offset(self) -> int:
        # Prevents an instance from requesting an expired record forever: reading continues after
        # the gap, although the settings in force are older.
        return settings_read_offset(self._node.state.settings)

    def read(self, effect: ReadLog) -> None:
        """Read a stream in the background, with at most one read per stream at a time."""
        if effect.stream in self._stream_reads:
            self._stream_reads[effect.stream] = effect
            return
        self._stream_reads[effect.stream] = None
        self._node.run_in_background(self._read_for_effect, effect)

    async def _read_for_effect(self, effect: ReadLog) -> None:
        stream = effect.stream
        next_read: ReadLog | None = effect
        try:
            while next_read is not None:
                limit = READ_RECORDS_MAX if next_read.limit is None else next_read.limit
                event = await self._read(stream, next_read.offset, 0.0, limit)
                self._stream_reads[stream] = None
                self._node.handle(event)
                next_read = self._stream_reads[stream]
        finally:
            del self._stream_reads[stream]

    async def _read(
        self, stream: str, offset: int, wait_s: float, limit: int = READ_RECORDS_MAX
    ) -> LogRead | LogExpired | LogFailed:
        wait_ms = int(wait_s * 1000)
        target = f"/log/{stream}?from={offset}&limit={limit}&wait_ms={wait_ms}"
        try:
            answer = await self._call(b"GET", target, timeout_s=wait_s + _CALL_TIMEOUT_S)
            return self._read_answer(stream, answer)
        except CallError as exc:
            return LogFailed(stream, str(exc))

    def _read_answer(self, stream: str, answer: Answer) -> LogRead | LogExpired:
        if answer.status == _STATUS_EXPIRED:
            expired = self._parse("read log", ExpiredBody.model_validate, answer)
            return LogExpired(stream, expired.oldest, expired.end)
        if answer.status != 200:
            raise self._protocol_error("read log", f"status {answer.status}")
        body = self._parse("read log", ReadBody.model_validate, answer)
        records = tuple(LogRecord(each.offset, each.value) for each in body.records)
        return LogRead(stream, records, body.end)

    def _parse(
        self, step: str, validate: Callable[[Any], ParsedBody], answer: Answer
    ) -> ParsedBody:
        try:
            return validate(answer.json())
        except ValueError as exc:
            raise self._protocol_error(step, str(exc)) from exc

    # The list of instances.

    async def follow_instance_list(self) -> None:
        """Read the list of instances periodically."""
        backoff = Backoff(self._rng)
        while True:
            try:
                self._node.handle(await self._read_list())
            except CallError as exc:
                if not backoff.is_failing:
                    # Logs only the first of consecutive failures.
                    logs.write("list_unread", step=exc.step, peer=exc.peer, error=exc.detail)
                await backoff.wait()
            else:
                backoff.reset()
                await anyio.sleep(list_period_s(self._node.state))

    async def _read_list(self) -> ListRead:
        answer = await self._call(b"GET", "/instances", timeout_s=_CALL_TIMEOUT_S)
        if answer.status != 200:
            raise self._protocol_error("read list", f"status {answer.status}")
        body = self._parse("read list", ListBody.model_validate, answer)
        entries = self._validate_entries(body.instances)
        servers = tuple(_server_entry(each) for each in entries if each.kind != "entry")
        instances = tuple(_listed_instance(each) for each in entries if each.kind == "entry")
        return ListRead(servers, instances)

    def _validate_entries(self, values: tuple[Any, ...]) -> list[InstanceBody]:
        """Return the sound entries of the list; log the first other one if it is another error."""
        entries: list[InstanceBody] = []
        error = ""
        for position, value in enumerate(values):
            try:
                entries.append(InstanceBody.model_validate(value))
            except ValidationError as exc:
                error = error or f"entry {position}: {_first_error(exc)}"
        if error and error != self._list_error:
            count = len(values) - len(entries)
            logs.write("list_entry_unreadable", peer=self._address, error=error, count=count)
        self._list_error = error
        return entries

    # The weight store.

    def request_load_permit(self, effect: RequestLoadPermit) -> None:
        """Request a permit to load a model, in the background."""
        self._node.run_in_background(self._request_load_permit, effect)

    async def _request_load_permit(self, effect: RequestLoadPermit) -> None:
        value = {"model": effect.model, "version": effect.version}
        retry_after_s = _DEFAULT_RETRY_AFTER_S
        is_granted = False
        try:
            answer = await self._call(
                b"POST", "/weights/grant", value=value, timeout_s=_CALL_TIMEOUT_S
            )
        except CallError as exc:
            logs.write("weights_unanswered", step=exc.step, peer=exc.peer, error=exc.detail)
        else:
            is_granted = answer.status == 200
            if answer.status == _STATUS_TOO_MANY_REQUESTS:
                retry_after_s = _retry_after_s(answer)
        event = WeightsAnswered(
            effect.model, effect.version, is_granted, 0.0 if is_granted else retry_after_s
        )
        self._node.handle(event)


def _retry_after_s(answer: Answer) -> float:
    try:
        return max(0.0, float(answer.headers.get(b"retry-after", b"")))
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S


def _first_error(exc: ValidationError) -> str:
    error = exc.errors(include_url=False, include_input=False)[0]
    field = ".".join(map(str, error["loc"]))
    return f"{field}: {error['msg']}"


def _server_entry(body: InstanceBody) -> ServerEntry:
    return ServerEntry(
        name=ServerName(body.name),
        service=body.service,
        data_centre=body.data_centre,
        address=body.address,
        incarnation=body.incarnation,
        leaving=body.state == "leaving",
        software_version=body.software_version,
    )


def _listed_instance(body: InstanceBody) -> ListedInstance:
    return ListedInstance(
        name=InstanceName(body.name),
        data_centre=body.data_centre,
        peer_address=body.peer_address or "",
        incarnation=body.incarnation,
        leaving=body.state == "leaving",
    )
