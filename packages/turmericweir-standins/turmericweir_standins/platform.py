"""A stand-in for the platform: its log of streams, its instance list and its weight store.

Start it with `python -m turmericweir_standins.platform`; its calls are documented in the platform's
section of docs/protocols.md. The table of behaviours enables the known faults of the platform:
outages that hang or refuse, slow calls, lost acknowledgements of appends, a list or weight store
that is down, and data centres that can't reach it.

The classes with state (`Stream`, `InstanceList`, `AppendLimit`, `WeightStore`) are independent of
HTTP and take the time as an argument; `Platform` adds the faults and the protocol. All state is in
memory.
"""

from __future__ import annotations

import math
import re
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final, Literal, NamedTuple

import anyio
import click
from pydantic import BaseModel, Field, ValidationError

from turmericweir_standins.asgi import (
    ClientDisconnectedError,
    Receive,
    Request,
    Scope,
    Send,
    request_of,
    send_json,
)
from turmericweir_standins.behaviour import BehaviourTable, Controls
from turmericweir_standins.listener import Listener
from turmericweir_standins.record import Recorder

READY_NAME: Final = "platform"
INSTANCES_CONTROL_PATH: Final = "/_standin/instances"
# The header with the name of the caller, to which `cut_from` refers.
CALLER_HEADER: Final = "x-instance"

DEFAULT_RETENTION: Final = 10_000
DEFAULT_LIST_LAG_S: Final = 1.0
DEFAULT_WEIGHTS_PER_S: Final = 1.0
DEFAULT_APPENDS_PER_S: Final = 400
DEFAULT_READ_LIMIT: Final = 1000
APPEND_WINDOW_S: Final = 1.0

_LOG_PATH: Final = re.compile(r"/log/([\w.-]+)(/append)?")

FaultMode = Literal["hang", "refuse"]


class PlatformBehaviour(BehaviourTable):
    """The faults and limits of the platform."""

    # Whether all calls on the log fail, and how.
    outage: bool = False
    outage_mode: FaultMode = "hang"
    # Duration of each call to the log; an append takes effect after half of it.
    slow_ms: float = 0.0
    # Whether the log holds its answers back while appends take effect.
    hold_answers: bool = False
    # Number of next appends that take effect and whose connection is closed without an answer.
    lose_acks: int = 0
    list_down: bool = False
    weights_down: bool = False
    # The callers that can't reach the platform, by their X-Instance header, and how they fail.
    cut_from: tuple[str, ...] = ()
    cut_mode: FaultMode = "refuse"
    # Append calls accepted in any one second, over all streams; more are refused with 429.
    appends_per_s: int = DEFAULT_APPENDS_PER_S
    # Weight grants per second; 0 for none.
    weights_per_s: float = DEFAULT_WEIGHTS_PER_S
    # Delay of changes of the instance list.
    list_lag_s: float = DEFAULT_LIST_LAG_S
    # Number of records that each stream retains.
    retention: int = DEFAULT_RETENTION


class AppendBody(BaseModel):
    """The body of an append."""

    # Any: the platform does not interpret the records.
    records: list[dict[str, Any]] = Field(min_length=1)


class ReadQuery(BaseModel):
    """The query of a read."""

    start: int = Field(default=0, alias="from", ge=0)
    limit: int = Field(default=DEFAULT_READ_LIMIT, ge=1)
    wait_ms: float = Field(default=0.0, ge=0)


class GrantBody(BaseModel):
    """The body of a request for weights."""

    model: str
    version: str | int


class ListedInstance(BaseModel):
    """One entry of the instance list."""

    name: str
    kind: Literal["entry", "engine", "plain"]
    service: str | None = None
    data_centre: str
    address: str
    peer_address: str | None = None
    incarnation: int | str = 1
    # Version of the software of a backend server.
    software_version: str = ""
    state: Literal["live", "leaving"] = "live"


class Page(NamedTuple):
    """The result of one read of a stream."""

    records: list[dict[str, Any]]
    end: int
    oldest: int


class ExpiredError(Exception):
    """Signal that a read asked for records that are no longer retained."""


class UnreachableError(Exception):
    """Signal that a fault refuses the call."""


class Stream:
    """An append-only stream that retains its newest records."""

    # The retained records, oldest first.
    _records: deque[dict[str, Any]]
    # The offset of the first retained record; it only grows.
    oldest: int
    # Set and replaced by each append or `wake`.
    _appended: anyio.Event

    def __init__(self) -> None:
        self._records = deque()
        self.oldest = 0
        self._appended = anyio.Event()

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.oldest + len(self._records)

    def append(self, records: list[dict[str, Any]], retention: int) -> int:
        """Append records, drop those beyond the retention, and return the first one's offset."""
        first = self.end
        self._records.extend(records)
        while len(self._records) > retention:
            self._records.popleft()
            self.oldest += 1
        self.wake()
        return first

    def wake(self) -> None:
        """Wake all waiting readers, which then check the stream again."""
        self._appended.set()
        self._appended = anyio.Event()

    def read(self, start: int, limit: int) -> Page:
        """Return the records from an offset on."""
        if start < self.oldest:
            raise ExpiredError
        offsets = range(start, min(self.end, start + limit))
        records = [
            {"offset": offset, "value": self._records[offset - self.oldest]} for offset in offsets
        ]
        return Page(records, self.end, self.oldest)

    def appended(self) -> anyio.Event:
        """Return the event of the next append or `wake`."""
        return self._appended


class AppendLimit:
    """Limit the number of calls in any window of one second."""

    # The times of the accepted calls of the last window.
    _accepted_at: deque[float]

    def __init__(self) -> None:
        self._accepted_at = deque()

    def take(self, now: float, per_s: int) -> bool:
        """Accept and count one call; return False if it exceeds the limit."""
        while self._accepted_at and self._accepted_at[0] <= now - APPEND_WINDOW_S:
            self._accepted_at.popleft()
        if len(self._accepted_at) >= per_s:
            return False
        self._accepted_at.append(now)
        return True


class WeightStore:
    """Grant weights at a limited rate, without bursts."""

    # Time of the next possible grant.
    _next_at: float

    def __init__(self) -> None:
        self._next_at = -math.inf

    def ask(self, now: float, per_s: float) -> float:
        """Grant at once and return 0, or return the time to wait before the next call."""
        if per_s <= 0:
            return math.inf
        if now < self._next_at:
            return self._next_at - now
        self._next_at = now + 1 / per_s
        return 0.0


@dataclass(frozen=True, slots=True)
class _ListChange:
    """A change of the list that may not be visible yet."""

    visible_at: float
    name: str
    # None removes the entry.
    entry: ListedInstance | None


class InstanceList:
    """A list whose changes become visible after a delay."""

    # The visible entries, by name.
    _visible: dict[str, ListedInstance]
    # The changes that are not visible yet, in order.
    _changes: list[_ListChange]
    # Incremented with each change that becomes visible.
    version: int

    def __init__(self) -> None:
        self._visible = {}
        self._changes = []
        self.version = 0

    def change(self, name: str, entry: ListedInstance | None, now: float, lag_s: float) -> None:
        """Set an entry or, with None, remove it; the change is visible after the lag."""
        self._changes.append(_ListChange(now + lag_s, name, entry))

    def visible_entries(self, now: float) -> list[ListedInstance]:
        """Return the visible entries at this time."""
        # A change never overtakes an earlier one, even if the lag was shortened between them.
        while self._changes and self._changes[0].visible_at <= now:
            self._apply(self._changes.pop(0))
        return list(self._visible.values())

    def _apply(self, change: _ListChange) -> None:
        if change.entry is None:
            self._visible.pop(change.name, None)
        else:
            self._visible[change.name] = change.entry
        self.version += 1


class Platform:
    """The ASGI app of the platform's protocol, with its faults."""

    controls: Controls[PlatformBehaviour]
    _streams: dict[str, Stream]
    _append_limit: AppendLimit
    _weights: WeightStore
    _instances: InstanceList
    _recorder: Recorder
    # Closes the connection of a client without an answer.
    _drop: Callable[[tuple[str, int] | None], None]
    # Set and replaced when the behaviours change; wakes hanging calls.
    _behaviour_changed: anyio.Event

    def __init__(
        self,
        table: PlatformBehaviour,
        recorder: Recorder,
        drop: Callable[[tuple[str, int] | None], None],
    ) -> None:
        self.controls = Controls(table, self._wake_hanging)
        self._streams = {}
        self._append_limit = AppendLimit()
        self._weights = WeightStore()
        self._instances = InstanceList()
        self._recorder = recorder
        self._drop = drop
        self._behaviour_changed = anyio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        request = request_of(scope, receive)
        try:
            await self._route(request, send)
        except ClientDisconnectedError:
            return
        except UnreachableError:
            await send_json(send, 503, {"error": "unreachable"})
        except ValidationError as exc:
            await send_json(send, 400, {"error": str(exc)})

    async def _route(self, request: Request, send: Send) -> None:
        if await self.controls.handle(request, send):
            return
        if request.path.startswith(INSTANCES_CONTROL_PATH):
            await self._change_instances(request, send)
            return
        handler = self._handler(request)
        if handler is None:
            await send_json(send, 404, {"error": f"no call {request.method} {request.path}"})
            return
        await handler(request, send)

    def _handler(self, request: Request) -> Callable[[Request, Send], Awaitable[None]] | None:
        log = _LOG_PATH.fullmatch(request.path)
        match request.method, request.path:
            case "GET", "/instances":
                return self._list_instances
            case "POST", "/weights/grant":
                return self._grant
            case "POST", _ if log and log[2]:
                return self._append
            case "GET", _ if log and not log[2]:
                return self._read
        return None

    # The log.

    async def _append(self, request: Request, send: Send) -> None:
        body = AppendBody.model_validate_json(await request.body())
        await self._check_log_reachable(request)
        await self._sleep_share(0.5)
        name, stream = self._stream(request)
        caller = _caller(request)
        if not self._append_limit.take(anyio.current_time(), self.controls.table.appends_per_s):
            self._recorder.write("append_refused", stream=name, caller=caller)
            await send_json(send, 429, {"error": "append rate"}, [("Retry-After", "1")])
            return
        first = stream.append(body.records, self.controls.table.retention)
        end = first + len(body.records)
        acked = not self._loses_acknowledgement()
        self._recorder.write(
            "append",
            stream=name,
            caller=caller,
            first=first,
            records=body.records,
            acked=acked,
        )
        if not acked:
            await self._close_unanswered(request)
        await self._wait_while_held(request)
        await self._sleep_share(0.5)
        # An outage that began meanwhile delays the acknowledgement; the append remains.
        await self._check_log_reachable(request)
        await send_json(send, 200, {"first": first, "end": end})

    async def _read(self, request: Request, send: Send) -> None:
        query = ReadQuery.model_validate(request.query)
        await request.body()
        await self._check_log_reachable(request)
        await self._sleep_share(1.0)
        name, stream = self._stream(request)
        await self._wait_for_record(request, stream, query)
        await self._wait_while_held(request)
        try:
            page = stream.read(query.start, query.limit)
        except ExpiredError:
            self._recorder.write(
                "read_expired", stream=name, caller=_caller(request), start=query.start
            )
            await send_json(send, 410, {"oldest": stream.oldest, "end": stream.end})
            return
        self._recorder.write(
            "read",
            stream=name,
            caller=_caller(request),
            start=query.start,
            count=len(page.records),
        )
        await send_json(send, 200, page._asdict())

    async def _wait_for_record(self, request: Request, stream: Stream, query: ReadQuery) -> None:
        deadline = anyio.current_time() + query.wait_ms / 1000
        while query.start >= stream.end:
            left_s = deadline - anyio.current_time()
            if left_s <= 0:
                return
            self._recorder.write("read_waits", caller=_caller(request), start=query.start)
            await _wait(request, stream.appended(), left_s)
            # An outage that began meanwhile also applies to waiting long polls.
            await self._check_log_reachable(request)

    def _stream(self, request: Request) -> tuple[str, Stream]:
        path_match = _LOG_PATH.fullmatch(request.path)
        assert path_match is not None
        return path_match[1], self._streams.setdefault(path_match[1], Stream())

    def _loses_acknowledgement(self) -> bool:
        count = self.controls.table.lose_acks
        if count <= 0:
            return False
        self.controls.merge({"lose_acks": count - 1})
        return True

    async def _close_unanswered(self, request: Request) -> None:
        self._drop(request.client)
        await request.disconnected()
        raise ClientDisconnectedError

    # The list and the weights.

    async def _list_instances(self, request: Request, send: Send) -> None:
        await request.body()
        await self._check_partition(request)
        if self.controls.table.list_down:
            raise UnreachableError
        entries = self._instances.visible_entries(anyio.current_time())
        body = {
            "instances": [entry.model_dump() for entry in entries],
            "version": self._instances.version,
        }
        await send_json(send, 200, body)

    async def _grant(self, request: Request, send: Send) -> None:
        body = GrantBody.model_validate_json(await request.body())
        await self._check_partition(request)
        if self.controls.table.weights_down:
            raise UnreachableError
        wait_s = self._weights.ask(anyio.current_time(), self.controls.table.weights_per_s)
        self._recorder.write(
            "grant",
            caller=_caller(request),
            model=body.model,
            version=body.version,
            granted=wait_s == 0,
        )
        if wait_s == 0:
            await send_json(send, 200, {"granted": True})
            return
        # The header is in whole seconds; with a rate of 0 there is no next grant.
        retry_after = str(math.ceil(wait_s)) if math.isfinite(wait_s) else "60"
        await send_json(send, 429, {"granted": False}, [("Retry-After", retry_after)])

    async def _change_instances(self, request: Request, send: Send) -> None:
        data = await request.body()
        name = request.path.removeprefix(INSTANCES_CONTROL_PATH).lstrip("/")
        entry: ListedInstance | None
        if request.method == "POST" and not name:
            entry = ListedInstance.model_validate_json(data)
            name = entry.name
        elif request.method == "DELETE" and name:
            entry = None
        else:
            await send_json(send, 405, {"error": "use POST, or DELETE with a name"})
            return
        lag_s = self.controls.table.list_lag_s
        self._instances.change(name, entry, anyio.current_time(), lag_s)
        self._recorder.write(
            "instance_changed", name=name, entry=None if entry is None else entry.model_dump()
        )
        await send_json(send, 200, {"shows_in_s": lag_s})

    # The faults.

    def _wake_hanging(self, _table: PlatformBehaviour) -> None:
        self._behaviour_changed.set()
        self._behaviour_changed = anyio.Event()
        for stream in self._streams.values():
            stream.wake()

    async def _check_log_reachable(self, request: Request) -> None:
        """Hang or fail while a fault makes the log unreachable for this caller."""
        await self._check_partition(request)
        while (table := self.controls.table).outage:
            await self._fail_or_hang(table.outage_mode, request)
            await self._check_partition(request)

    async def _check_partition(self, request: Request) -> None:
        """Hang or fail while this caller can't reach the platform."""
        while _caller(request) in (table := self.controls.table).cut_from:
            await self._fail_or_hang(table.cut_mode, request)

    async def _wait_while_held(self, request: Request) -> None:
        while self.controls.table.hold_answers:
            await _wait(request, self._behaviour_changed, None)

    async def _fail_or_hang(self, mode: FaultMode, request: Request) -> None:
        if mode == "refuse":
            raise UnreachableError
        await _wait(request, self._behaviour_changed, None)

    async def _sleep_share(self, share: float) -> None:
        await anyio.sleep(self.controls.table.slow_ms / 1000 * share)


def _caller(request: Request) -> str | None:
    return request.headers.get(CALLER_HEADER)


async def _wait(request: Request, event: anyio.Event, timeout_s: float | None) -> None:
    """Wait for the event or the timeout; raise if the client disconnects."""
    gone = False

    async def watch_client() -> None:
        nonlocal gone
        await request.disconnected()
        gone = True
        tasks.cancel_scope.cancel()

    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch_client)
            await event.wait()
            tasks.cancel_scope.cancel()
    if gone:
        raise ClientDisconnectedError


async def serve(address: str, table: PlatformBehaviour, record: str | None) -> None:
    """Serve until SIGTERM."""
    listener = Listener(READY_NAME, address)
    with Recorder(record) as recorder:
        await listener.run(Platform(table, recorder, listener.drop))


@click.command()
@click.option("--address", default="127.0.0.1:0", help="ip:port to listen on; port 0 picks one.")
@click.option("--retention", default=DEFAULT_RETENTION, help="Records that each stream retains.")
@click.option("--record", type=click.Path(), default=None, help="File for the observed events.")
@click.option("--list-lag-s", default=DEFAULT_LIST_LAG_S, help="Delay of changes of the list.")
@click.option("--weights-per-s", default=DEFAULT_WEIGHTS_PER_S, help="Weight grants per second.")
def main(
    address: str, retention: int, record: str | None, list_lag_s: float, weights_per_s: float
) -> None:
    """Run a stand-in for the platform's log, instance list and weight store."""
    table = PlatformBehaviour(
        retention=retention, list_lag_s=list_lag_s, weights_per_s=weights_per_s
    )
    anyio.run(serve, address, table, record)


if __name__ == "__main__":
    main()
