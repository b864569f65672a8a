"""Open-loop load callers, as a library and as `python -m turmericweir_standins.callers`.

`Callers` sends a workload (`callers_workload`) through a list of entry addresses (`callers_conn`),
compares every answer with the expected one (`callers_check`) and returns one result for each call
(`callers_result`). It sends each call at its planned time regardless of earlier calls, never sends
a call twice, and disconnects when the caller's maximum waiting time has passed.

The program prints `READY callers -` when it begins to send, and at the end one line `RESULT` with
the summary as JSON.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Final

import anyio
import click
import httpcore
import orjson

from turmericweir_standins.callers_check import (
    Check,
    EventReader,
    StreamText,
    check_echo,
    check_text,
)
from turmericweir_standins.callers_conn import IDLE_MAX, Balance, Balancer, Entry
from turmericweir_standins.callers_net import CallerStream, ChunkDecoder
from turmericweir_standins.callers_result import (
    FIRST_ERROR_STATUS,
    CallResult,
    result_record,
    summarise,
)
from turmericweir_standins.callers_workload import (
    Kind,
    PlannedCall,
    Workload,
    idempotency_key,
    parse_workload,
    plain_body,
    plan,
    prompt_of,
)
from turmericweir_standins.engine_answer import answer_of
from turmericweir_standins.record import Recorder

READY_LINE: Final = "READY callers -"
RESULT_WORD: Final = "RESULT"
REQUEST_ID_HEADER: Final = "turmericweir-request-id"
OUTCOME_HEADER: Final = "turmericweir-outcome"
# Value of the outcome header of a stream; the outcome is in its last event.
IN_STREAM: Final = "in-stream"
DEADLINE_HEADER: Final = "Turmericweir-Deadline-Ms"
EVENT_STREAM: Final = "text/event-stream"
GAVE_UP: Final = "gave up"
CONNECT_TIMEOUT_S: Final = 2.0
# Errors after which the call may have been received.
_LOST_ANSWER: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class _Exchange:
    """One call, from its sending to the end of its answer."""

    _call: PlannedCall
    _run_id: str
    result: CallResult
    _now: Callable[[], float]
    # Planned time of sending, on the event loop's clock.
    _planned_at: float
    # Time of the last token, since the planned time.
    _last_token_s: float

    def __init__(self, call: PlannedCall, run_id: str, started_at: float) -> None:
        self._call = call
        self._run_id = run_id
        self._now = asyncio.get_running_loop().time
        self._planned_at = started_at + call.at_s
        self._last_token_s = 0.0
        self.result = CallResult(
            traffic=call.traffic.name,
            number=call.number,
            planned_s=call.at_s,
            target_s=call.traffic.target_s,
        )
        if call.traffic.keyed:
            self.result.key = idempotency_key(call, run_id)

    async def run(self, entries: Sequence[Entry]) -> None:
        """Send the call to the first entry that accepts the connection, and read its answer."""
        result = self.result
        result.late_s = self._elapsed_s()
        with anyio.move_on_after(self._call.traffic.patience_s) as wait_scope:
            await self._try_entries(entries)
        if wait_scope.cancelled_caught:
            result.error = GAVE_UP
        result.total_s = self._elapsed_s()

    def _elapsed_s(self) -> float:
        # The clock of the event loop; `anyio.current_time` would be too slow for each token.
        return self._now() - self._planned_at

    async def _try_entries(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            self.result.entry = entry.address
            try:
                await self._send(entry)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
                # Nothing was sent; a load balancer would try the next entry.
                self.result.error = type(exc).__name__
                continue
            except _LOST_ANSWER as exc:
                self.result.error = type(exc).__name__
            except (ValueError, LookupError, TypeError) as exc:
                # An event is not JSON or does not follow the protocol.
                self.result.error = type(exc).__name__
                self.result.check = Check.MALFORMED
            return

    async def _send(self, entry: Entry) -> None:
        self.result.error = ""
        request = self._request(entry)
        # Prevents a call with a key from being lost on an idle connection that the other end closes
        # at the same time; it would be unknown whether the call ran.
        async with entry.connection(fresh=self._call.traffic.keyed) as conn:
            response = await conn.handle_async_request(request)
            try:
                await self._read(response)
            finally:
                await response.aclose()

    def _request(self, entry: Entry) -> httpcore.Request:
        traffic = self._call.traffic
        body = self._body()
        headers = {
            "Host": entry.address,
            "Authorization": f"Bearer {self._call.token}",
            "Content-Type": "application/json" if traffic.kind is Kind.MODEL else "text/plain",
            "Content-Length": str(len(body)),
        }
        if traffic.deadline_s is not None:
            headers[DEADLINE_HEADER] = str(max(1, round(traffic.deadline_s * 1000)))
        if self.result.key is not None:
            headers["Idempotency-Key"] = self.result.key
        return httpcore.Request(
            method=traffic.method,
            url=entry.url(traffic.path.replace("{n}", str(self._call.number))),
            headers=list(headers.items()),
            content=body,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}},
        )

    def _body(self) -> bytes:
        traffic = self._call.traffic
        if traffic.kind is Kind.PLAIN:
            return plain_body(self._call).encode()
        messages = [message.model_dump() for message in prompt_of(self._call)]
        body: dict[str, object] = {
            "model": traffic.model,
            "messages": messages,
            "stream": traffic.stream,
        }
        if traffic.max_tokens is not None:
            body["max_tokens"] = traffic.max_tokens
        return orjson.dumps(body)

    # The answer.

    async def _read(self, response: httpcore.Response) -> None:
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        self.result.status = response.status
        self.result.request_id = headers.get(REQUEST_ID_HEADER, "")
        outcome = headers.get(OUTCOME_HEADER, "")
        if headers.get("content-type", "").startswith(EVENT_STREAM):
            await self._read_stream(response)
            return
        self.result.outcome = "" if outcome == IN_STREAM else outcome
        self._check_body(await response.aread())

    async def _read_stream(self, response: httpcore.Response) -> None:
        decoder = ChunkDecoder()
        reader = EventReader()
        text = StreamText()

        def handle_data(data: bytes) -> bool:
            received_s = self._elapsed_s()
            for event in reader.feed(decoder.feed(data)):
                if text.add(event):
                    self._record_token(received_s)
            return decoder.ended

        stream = response.extensions["network_stream"]
        assert isinstance(stream, CallerStream)
        try:
            await stream.read_body(handle_data)
        finally:
            self._record_stream(text)

    def _record_token(self, received_s: float) -> None:
        result = self.result
        if result.first_token_s is None:
            result.first_token_s = received_s
        else:
            result.gaps_s.append(received_s - self._last_token_s)
        self._last_token_s = received_s

    def _record_stream(self, text: StreamText) -> None:
        result = self.result
        result.tokens = len(text.tokens)
        result.done = text.done
        if text.outcome is not None:
            result.outcome = str(text.outcome.get("outcome", ""))
            result.reason = str(text.outcome.get("reason", ""))
        result.check = self._check_tokens("".join(text.tokens), text.finish_reason)

    def _check_body(self, data: bytes) -> None:
        result = self.result
        try:
            value = orjson.loads(data)
        except orjson.JSONDecodeError:
            value = None
        if result.status is None or result.status >= FIRST_ERROR_STATUS:
            result.reason = str(value.get("reason", "")) if isinstance(value, dict) else ""
        elif self._call.traffic.kind is Kind.PLAIN:
            result.check = check_echo(value, plain_body(self._call), result.key)
        else:
            self._check_completion(value)

    def _check_completion(self, completion: object) -> None:
        try:
            choice = completion["choices"][0]  # type: ignore[index]
            text = choice["message"]["content"]
            finish_reason = choice["finish_reason"]
        except (KeyError, IndexError, TypeError):
            self.result.check = Check.MALFORMED
            return
        self.result.tokens = text.count(" ")
        self.result.check = self._check_tokens(text, finish_reason)

    def _check_tokens(self, text: str, finish_reason: str | None) -> Check:
        traffic = self._call.traffic
        expected = answer_of(traffic.model, prompt_of(self._call), traffic.max_tokens)
        return check_text(text, expected, finish_reason)


class Callers:
    """Send a workload and collect the results."""

    # Its addresses may be changed during a run.
    balancer: Balancer
    # The results until now, in the order in which the calls ended.
    results: list[CallResult]
    # Part of the idempotency keys; makes them unique to this run.
    run_id: str
    _workload: Workload
    _recorder: Recorder | None
    _on_result: Callable[[CallResult], None] | None

    def __init__(
        self,
        workload: Workload,
        entries: Sequence[str],
        *,
        balance: Balance = Balance.ROUND_ROBIN,
        idle_max: int = IDLE_MAX,
        recorder: Recorder | None = None,
        on_result: Callable[[CallResult], None] | None = None,
    ) -> None:
        self.balancer = Balancer(entries, balance, workload.seed, idle_max)
        self.results = []
        self.run_id = uuid.uuid4().hex
        self._workload = workload
        self._recorder = recorder
        self._on_result = on_result

    async def run(self) -> list[CallResult]:
        """Send every call at its planned time and wait for all answers."""
        calls = plan(self._workload)
        started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for call in calls:
                await anyio.sleep_until(started_at + call.at_s)
                tasks.start_soon(self._run_call, call, started_at)
        await self.balancer.close()
        return self.results

    async def _run_call(self, call: PlannedCall, started_at: float) -> None:
        exchange = _Exchange(call, self.run_id, started_at)
        await exchange.run(self.balancer.pick())
        self.results.append(exchange.result)
        if self._recorder is not None:
            self._recorder.write("result", **result_record(exchange.result))
        if self._on_result is not None:
            self._on_result(exchange.result)


def results_json(results: Sequence[CallResult], duration_s: float) -> bytes:
    """Return the summary and all results as JSON."""
    report = asdict(summarise(results, duration_s))
    return orjson.dumps({"report": report, "calls": [result_record(each) for each in results]})


async def _run_program(
    workload: Workload, entries: Sequence[str], balance: Balance, record: str | None
) -> list[CallResult]:
    with Recorder(record) as recorder:
        callers = Callers(workload, entries, balance=balance, recorder=recorder)
        print(READY_LINE, flush=True)
        return await callers.run()


@click.command()
@click.option("--entry", "entries", multiple=True, required=True, help="ip:port; may be repeated.")
@click.option(
    "--workload",
    "workload_path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    required=True,
    help="JSON file of the workload; see callers_workload.Workload.",
)
@click.option(
    "--balance",
    type=click.Choice([each.value for each in Balance]),
    default=Balance.ROUND_ROBIN.value,
    help="How an entry is selected for each call.",
)
@click.option("--record", type=click.Path(), default=None, help="File for one line per result.")
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    help="File for the summary and all results as JSON.",
)
def main(
    entries: tuple[str, ...],
    workload_path: Path,
    balance: str,
    record: str | None,
    out: Path | None,
) -> None:
    """Send a workload to entry instances and check every answer."""
    workload = parse_workload(workload_path.read_bytes())
    started_at = time.monotonic()
    results = anyio.run(_run_program, workload, entries, Balance(balance), record)
    elapsed_s = time.monotonic() - started_at
    if out is not None:
        out.write_bytes(results_json(results, elapsed_s))
    report: Mapping[str, object] = asdict(summarise(results, elapsed_s))
    print(f"{RESULT_WORD} {orjson.dumps(report).decode()}", flush=True)


if __name__ == "__main__":
    main()
