"""Test the engine stand-in: its batch, its delayed reports and events, and its HTTP interface."""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpcore
import orjson
import pytest

from turmericweir_standins.asgi import Message, Scope
from turmericweir_standins.behaviour import Controls
from turmericweir_standins.engine_answer import Answer, ChatMessage, Prefix, answer_of, prompt_of
from turmericweir_standins.engine_app import EngineApp
from turmericweir_standins.engine_batch import (
    KV_RETENTION_S,
    Batch,
    BatchConfig,
    Sequence,
    StepResult,
)
from turmericweir_standins.engine_kv import CacheChange, IdleKv, KvMemory
from turmericweir_standins.engine_lag import CacheLog, LaggedReports, LoadReport
from turmericweir_standins.engine_loop import Engine
from turmericweir_standins.engine_models import ModelTable, Order, StaleFenceError
from turmericweir_standins.engine_options import EngineBehaviour, EngineOptions
from turmericweir_standins.engine_record import EngineRecord, tokens_by_attempt
from turmericweir_standins.listener import Listener
from turmericweir_standins.procs import standin
from turmericweir_standins.record import Recorder, read_records

MODEL = "tailor-lm"
COMPLETIONS = "/v1/chat/completions"
# Safety limit for a test that hangs.
SAFETY_TIMEOUT_S = 30.0


def messages_of(*contents: str) -> list[ChatMessage]:
    return [ChatMessage(role="user", content=content) for content in contents]


def sequence_of(
    content: str,
    *,
    request_id: str = "r1",
    attempt_id: str = "a1",
    priority: int = 0,
    start: int = 0,
    max_tokens: int | None = None,
) -> Sequence:
    messages = messages_of(content)
    return Sequence(
        request_id,
        attempt_id,
        MODEL,
        priority,
        prompt_of(MODEL, messages),
        answer_of(MODEL, messages, max_tokens),
        start,
    )


def step(batch: Batch, now: float = 0.0) -> StepResult:
    assert batch.begin(now) is not None
    return batch.end()


def run_to_end(batch: Batch, now: float = 0.0) -> dict[str, str]:
    """Run steps until the batch is empty; return the text of each request."""
    texts: dict[str, str] = {}
    while batch.begin(now) is not None:
        for emission in batch.end().emissions:
            request_id = emission.sequence.request_id
            texts[request_id] = texts.get(request_id, "") + emission.text
    return texts


# Answers.


def test_answer_depends_on_model_and_contents_alone() -> None:
    answer = answer_of(MODEL, messages_of("mark", "this essay"))
    assert answer == answer_of(MODEL, messages_of("mark", "this essay"))
    assert answer.text_hash != answer_of("tutor-llm", messages_of("mark", "this essay")).text_hash
    assert 20 <= answer.length <= 400
    assert answer.token(3) == f"{answer.text_hash}.3 "


def test_length_marker_of_the_last_user_message_counts() -> None:
    messages = messages_of("one [len=5]", "two [len=7]")
    messages.append(ChatMessage(role="assistant", content="[len=9]"))
    assert answer_of(MODEL, messages).length == 7


def test_max_tokens_caps_with_reason_length() -> None:
    messages = messages_of("hi [len=5]")
    assert answer_of(MODEL, messages, 5).finish_reason == "stop"
    capped = answer_of(MODEL, messages, 4)
    assert (capped.length, capped.finish_reason) == (4, "length")


def test_prefix_ids_are_shared_up_to_the_first_difference() -> None:
    one = prompt_of(MODEL, messages_of("sheet of prices", "quote for school A"))
    two = prompt_of(MODEL, messages_of("sheet of prices", "quote for school B"))
    assert one.prefixes[0] == two.prefixes[0]
    assert one.prefixes[0].tokens == 3
    assert one.prompt_id != two.prompt_id


# The batch.


def test_a_step_emits_one_token_for_each_running_sequence() -> None:
    batch = Batch(BatchConfig())
    batch.submit(sequence_of("a [len=2]", request_id="a"))
    batch.submit(sequence_of("b [len=3]", request_id="b"))
    assert step(batch).emissions == []  # Both are prefilled.
    assert [each.finish_reason for each in step(batch).emissions] == [None, None]
    assert [each.finish_reason for each in step(batch).emissions] == ["stop", None]
    assert [each.finish_reason for each in step(batch).emissions] == ["stop"]
    assert batch.begin(0.0) is None
    assert batch.kv.active == 0


def test_step_time_grows_with_the_batch() -> None:
    batch = Batch(BatchConfig(step_s=0.01, slope=0.5))
    batch.submit(sequence_of("a", request_id="a"))
    assert batch.begin(0.0) == pytest.approx(0.01)
    batch.submit(sequence_of("b", request_id="b"))
    batch.submit(sequence_of("c", request_id="c"))
    assert batch.begin(0.0) == pytest.approx(0.02)


def test_prefill_takes_a_step_for_each_512_tokens_unless_cached() -> None:
    batch = Batch(BatchConfig())
    prompt = "word " * 1024 + "[len=1]"
    batch.submit(sequence_of(prompt, request_id="first"))
    assert [len(step(batch).emissions) for _ in range(4)] == [0, 0, 0, 1]
    batch.submit(sequence_of(prompt, request_id="second"))
    assert len(step(batch).emissions) == 1


def test_waiting_is_ordered_by_priority_then_arrival() -> None:
    batch = Batch(BatchConfig(slots=1))
    for name, priority in (("essay", 5), ("quote", 5), ("homework", 1)):
        batch.submit(sequence_of(f"{name} [len=1]", request_id=name, priority=priority))
    assert list(run_to_end(batch)) == ["homework", "essay", "quote"]


def test_urgent_request_preempts_the_least_urgent_which_resumes_later() -> None:
    batch = Batch(BatchConfig(slots=2))
    essay = sequence_of("essay [len=4]", request_id="essay", priority=5)
    quote = sequence_of("quote [len=9]", request_id="quote", priority=4)
    batch.submit(essay)
    batch.submit(quote)
    step(batch)
    step(batch)
    batch.submit(sequence_of("homework [len=1]", request_id="homework", priority=0))
    preempting = step(batch)
    assert preempting.preempted == [essay]
    assert [each.sequence for each in preempting.emissions] == [quote]
    step(batch)
    # The homework is complete; the essay's KV was kept, and it resumes without a prefill.
    assert [each.text for each in step(batch).emissions] == [
        quote.answer.token(3),
        essay.answer.token(1),
    ]
    assert run_to_end(batch)["essay"] == essay.answer.text(start=2)


def test_equal_priority_does_not_preempt() -> None:
    batch = Batch(BatchConfig(slots=1))
    batch.submit(sequence_of("a [len=3]", request_id="a", priority=2))
    step(batch)
    batch.submit(sequence_of("b [len=3]", request_id="b", priority=2))
    assert step(batch).preempted == []
    assert [each.request_id for each in batch.waiting] == ["b"]


def test_no_sequence_is_preempted_if_the_room_would_not_suffice() -> None:
    batch = Batch(BatchConfig(slots=2, kv_tokens=100))
    batch.submit(sequence_of("word " * 80 + "[len=5]", request_id="big", priority=1))
    batch.submit(sequence_of("small [len=5]", request_id="small", priority=3))
    step(batch)
    batch.submit(sequence_of("word " * 40 + "[len=5]", request_id="middle", priority=2))
    assert step(batch).preempted == []


def test_shortage_of_memory_preempts_the_least_urgent_and_all_answers_are_complete() -> None:
    batch = Batch(BatchConfig(kv_tokens=60))
    sequences = [
        sequence_of(f"{name} [len=40]", request_id=name, priority=priority)
        for name, priority in (("a", 0), ("b", 1), ("c", 2))
    ]
    for sequence in sequences:
        batch.submit(sequence)
    texts = run_to_end(batch)
    assert texts == {each.request_id: each.answer.text() for each in sequences}
    assert sequences[0].preemptions == 0
    assert sequences[2].preemptions > 0
    assert batch.kv.active == 0


def test_aborted_sequence_leaves_its_kv_for_a_resume() -> None:
    batch = Batch(BatchConfig())
    content = "word " * 600 + "[len=9]"
    first = sequence_of(content)
    batch.submit(first)
    for _ in range(5):
        step(batch)
    assert first.generated == 3
    batch.abort(first, now=1.0)
    batch.submit(sequence_of(content, attempt_id="a2", start=3))
    emission = step(batch, now=1.0 + KV_RETENTION_S / 2).emissions[0]
    assert emission.text == first.answer.token(3)


def test_kv_of_an_aborted_sequence_expires() -> None:
    batch = Batch(BatchConfig())
    sequence = sequence_of("hello [len=9]")
    batch.submit(sequence)
    step(batch)
    batch.abort(sequence, now=1.0)
    batch.begin(1.0 + KV_RETENTION_S)
    assert batch.export_kv("r1") is None


def test_kv_of_another_prompt_is_not_used() -> None:
    batch = Batch(BatchConfig())
    batch.kv.import_idle("r1", IdleKv("another prompt", 100))
    batch.submit(sequence_of("hello [len=9]"))
    assert step(batch).emissions == []


def test_imported_kv_avoids_the_prefill() -> None:
    source, target = Batch(BatchConfig()), Batch(BatchConfig())
    source.submit(sequence_of("hello [len=9]"))
    step(source)
    step(source)
    kv = source.export_kv("r1")
    assert kv is not None
    assert target.kv.import_idle("r1", kv)
    target.submit(sequence_of("hello [len=9]", attempt_id="a2", start=1))
    assert len(step(target).emissions) == 1


def test_resume_sends_the_rest_and_counts_only_it() -> None:
    batch = Batch(BatchConfig())
    sequence = sequence_of("hello [len=9]", start=4)
    batch.submit(sequence)
    assert run_to_end(batch) == {"r1": sequence.answer.text(start=4)}
    assert sequence.generated == 5


def test_resume_without_remaining_tokens_finishes_in_a_full_memory() -> None:
    batch = Batch(BatchConfig(kv_tokens=11))
    sequence = sequence_of("hello [len=9]", start=9)
    batch.submit(sequence)
    step(batch)
    [emission] = step(batch).emissions
    assert (emission.text, emission.finish_reason) == ("", "stop")
    assert sequence.generated == 0


@pytest.mark.parametrize("steps", [0, 3])
def test_cancel_stops_at_once_and_frees_memory(steps: int) -> None:
    batch = Batch(BatchConfig())
    sequence = sequence_of("hello [len=9]")
    batch.submit(sequence)
    for _ in range(steps):
        step(batch)
    batch.cancel(sequence)
    assert batch.begin(0.0) is None
    assert (batch.kv.active, batch.export_kv("r1")) == (0, None)


def test_marked_prompt_crashes_at_its_first_token() -> None:
    batch = Batch(BatchConfig())
    sequence = sequence_of("[crash] [len=9]")
    batch.submit(sequence)
    assert step(batch).crashed_by is None
    assert step(batch).crashed_by is sequence
    assert sequence.generated == 1


# KV memory.


def test_least_recently_used_prefix_is_evicted_first() -> None:
    kv = KvMemory(30)
    first, second, third = (Prefix(name, 10) for name in ("first", "second", "third"))
    kv.store_prefixes([first])
    kv.store_prefixes([second])
    kv.store_prefixes([third])
    assert kv.cached_tokens([first]) == 10
    assert kv.acquire(5)
    kinds = [(change.kind, change.prefix_id) for change in kv.drain_changes()]
    assert kinds == [
        ("stored", "first"),
        ("stored", "second"),
        ("stored", "third"),
        ("evicted", "second"),
    ]


def test_the_end_of_a_prompt_is_evicted_before_its_beginning() -> None:
    kv = KvMemory(20)
    kv.store_prefixes([Prefix("sheet", 10), Prefix("sheet+question", 10)])
    kv.acquire(5)
    assert kv.cached_tokens([Prefix("sheet", 10), Prefix("sheet+question", 10)]) == 10


def test_idle_kv_is_evicted_for_active_sequences_and_refused_where_they_fill_memory() -> None:
    kv = KvMemory(20)
    assert kv.import_idle("r1", IdleKv("p", 15))
    assert kv.acquire(10)
    assert kv.idle("r1") is None
    assert not kv.import_idle("r2", IdleKv("p", 15))
    assert not kv.acquire(11)
    assert kv.used == 10


def test_preempted_kv_never_expires() -> None:
    kv = KvMemory(20)
    kv.acquire(5)
    kv.park("r1", IdleKv("p", 5))
    kv.expire(math.nextafter(math.inf, 0))
    assert kv.idle("r1") is not None


# Delayed reports and events.


def report(seq: int) -> LoadReport:
    return LoadReport("e", "i", seq, 0, 0, 16, 0, 100, 6.0, [MODEL], "mixed", False, 0, [])


def test_load_report_is_shown_only_after_the_lag() -> None:
    reports = LaggedReports(lag_s=1.0)
    for now in (0.0, 0.5, 1.0):
        reports.observe(now, report)
    assert [reports.read(now).seq for now in (1.0, 1.5, 1.9, 2.0)] == [1, 2, 2, 3]


def test_cache_events_are_delayed_and_have_gaps() -> None:
    log = CacheLog(lag_s=1.0, gap_every=2)
    for now in (0.0, 0.25, 0.5):
        log.append(now, CacheChange("stored", f"at {now}"))
    assert log.read(0.75, after=0) == ([], 0)
    events, after = log.read(1.25, after=0)
    assert ([event.seq for event in events], after) == ([1], 2)
    events, after = log.read(1.5, after=2)
    assert ([event.seq for event in events], after) == ([3], 3)


# Models and orders.


def load_order(fence: int, version: str = "") -> Order:
    return Order(kind="load", model="new", version=version, fence=fence)


def test_stale_fencing_number_is_refused_if_checked() -> None:
    models = ModelTable([MODEL], load_s=1.0, check_fence=True)
    models.execute(load_order(5), now=0.0)
    models.execute(load_order(5), now=0.0)
    with pytest.raises(StaleFenceError) as caught:
        models.execute(Order(kind="unload", model=MODEL, fence=4), now=0.0)
    assert caught.value.fence == 5
    assert models.serves(MODEL, now=0.0)


def test_stale_fencing_number_is_accepted_if_ignored() -> None:
    models = ModelTable([MODEL], load_s=1.0, check_fence=False)
    models.execute(load_order(5), now=0.0)
    assert models.execute(Order(kind="unload", model=MODEL, fence=4), now=0.0) == "unloaded"
    assert not models.serves(MODEL, now=0.0)
    assert models.fence == 0


def test_repeated_order_does_not_restart_a_load() -> None:
    models = ModelTable([MODEL], load_s=1.0, check_fence=True)
    assert models.execute(load_order(1, "v2"), now=0.0) == "loading"
    assert models.execute(load_order(1, "v2"), now=0.9) == "loading"
    assert (models.loaded(0.9), models.loading(0.9)) == ([MODEL], ["new@v2"])
    assert (models.loaded(1.0), models.loading(1.0)) == ([MODEL, "new@v2"], [])
    assert models.serves("new", now=1.0)
    assert models.execute(load_order(1, "v2"), now=1.0) == "loaded"


# The record.


def test_tokens_are_counted_by_attempt_also_without_an_end(tmp_path: Path) -> None:
    path = tmp_path / "record"
    with Recorder(str(path)) as recorder:
        record = EngineRecord("e", recorder)
        done, killed = sequence_of("x"), sequence_of("x", attempt_id="a2")
        done.position = killed.position = 3
        record.progress([done, killed])
        done.position = 8
        record.ended(done, "aborted")
    counts = tokens_by_attempt(read_records(path))
    assert counts == {("r1", "a1"): 8, ("r1", "a2"): 3}


# The HTTP interface, called in this process.


class Client:
    """Call an ASGI app and store its answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def __init__(self, app: EngineApp) -> None:
        self._app = app
        # Set to disconnect from the app.
        self.disconnect_requested = anyio.Event()
        # Set when the first part of a body has arrived.
        self.answered = anyio.Event()

    async def call(
        self, method: str, path: str, body: object = None, headers: dict[str, str] | None = None
    ) -> Client:
        raw = [(name.encode(), value.encode()) for name, value in (headers or {}).items()]
        scope: Scope = {"method": method, "path": path, "query_string": b"", "headers": raw}
        sent = False

        async def receive() -> Message:
            nonlocal sent
            if not sent:
                sent = True
                return {"type": "http.request", "body": orjson.dumps(body)}
            await self.disconnect_requested.wait()
            return {"type": "http.disconnect"}

        self.body = b""
        await self._app(scope, receive, self._add_message)
        return self

    async def complete(self, content: str, **fields: object) -> Client:
        messages = [{"role": "user", "content": content}]
        body = {"model": MODEL, "messages": messages, **fields}
        return await self.call(
            "POST", COMPLETIONS, body, {"x-request-id": "r1", "x-attempt-id": "a1"}
        )

    async def set_behaviour(self, **changes: object) -> None:
        await self.call("POST", "/_standin/behaviour", changes)
        assert self.status == 200

    def json(self) -> dict[str, object]:
        parsed = orjson.loads(self.body)
        assert isinstance(parsed, dict)
        return parsed

    def events(self) -> list[str]:
        events = self.body.decode().split("\n\n")
        assert events.pop() == ""
        return [event.removeprefix("data: ") for event in events]

    def tokens(self) -> str:
        chunks = [orjson.loads(event) for event in self.events() if event != "[DONE]"]
        return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)

    async def _add_message(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {name.decode(): value.decode() for name, value in message["headers"]}
        else:
            self.body += message["body"]
            self.answered.set()


@asynccontextmanager
async def running_engine(record: Path | None = None) -> AsyncIterator[EngineApp]:
    options = EngineOptions("e", (MODEL,), BatchConfig(step_s=0.0001))
    listener = Listener("e", "127.0.0.1:0")
    with Recorder(None if record is None else str(record)) as recorder:
        controls = Controls(EngineBehaviour())
        engine = Engine(options, controls, EngineRecord("e", recorder), listener)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            yield EngineApp(engine, listener)
            tasks.cancel_scope.cancel()


async def test_streamed_answer_is_one_event_for_each_token_and_done() -> None:
    async with running_engine() as app:
        client = await Client(app).complete("hi [len=3]", stream=True)
    answer = answer_of(MODEL, messages_of("hi [len=3]"))
    events = client.events()
    assert [orjson.loads(event)["choices"][0]["finish_reason"] for event in events[:-1]] == [
        None,
        None,
        "stop",
    ]
    assert events[-1] == "[DONE]"
    assert client.tokens() == answer.text()
    assert (client.headers["x-request-id"], client.headers["x-attempt-id"]) == ("r1", "a1")


async def test_complete_answer_has_text_and_usage() -> None:
    async with running_engine() as app:
        client = await Client(app).complete("hi [len=3]", max_tokens=2)
    [choice] = orjson.loads(client.body)["choices"]
    assert choice["message"]["content"] == answer_of(MODEL, messages_of("hi [len=3]")).text(0, 2)
    assert choice["finish_reason"] == "length"


async def test_resume_continues_and_a_wrong_text_is_an_error() -> None:
    answer: Answer = answer_of(MODEL, messages_of("hi [len=5]"))
    async with running_engine() as app:
        correct_resume = {"from_token": 2, "text": answer.text(0, 2)}
        client = await Client(app).complete("hi [len=5]", stream=True, resume=correct_resume)
        assert client.tokens() == answer.text(2)
        wrong_resume = {"from_token": 2, "text": answer.text(0, 1)}
        assert (await Client(app).complete("hi [len=5]", resume=wrong_resume)).status == 400


@pytest.mark.parametrize(
    ("behaviour", "status", "marks"),
    [
        ({"leaving": True}, 503, {"x-not-started", "x-leaving"}),
        ({"refuse_start": True}, 503, {"x-not-started"}),
        ({"error_rate": 1.0}, 500, set()),
    ],
)
async def test_refusals_show_whether_work_began(
    behaviour: dict[str, object], status: int, marks: set[str]
) -> None:
    async with running_engine() as app:
        client = Client(app)
        await client.set_behaviour(**behaviour)
        await client.complete("hi")
    assert client.status == status
    assert {"x-not-started", "x-leaving"} & client.headers.keys() == marks


async def test_model_that_is_not_loaded_is_refused_before_the_start() -> None:
    async with running_engine() as app:
        client = await Client(app).call(
            "POST", COMPLETIONS, {"model": "other", "messages": [{"role": "user", "content": "x"}]}
        )
    assert (client.status, client.headers["x-not-started"]) == (503, "1")


async def test_leaving_engine_finishes_what_runs_and_reports_it() -> None:
    async with running_engine() as app:
        client, second_client = Client(app), Client(app)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: client.complete("hi [len=300]", stream=True))
            await client.answered.wait()
            await second_client.set_behaviour(leaving=True)
            await second_client.call("GET", "/v1/load")
            assert second_client.json()["leaving"] is True
    assert client.tokens() == answer_of(MODEL, messages_of("hi [len=300]")).text()


async def test_disconnection_aborts_and_the_tokens_are_counted(tmp_path: Path) -> None:
    async with running_engine(tmp_path / "record") as app:
        client, second_client = Client(app), Client(app)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                lambda: client.complete("hi [len=1000000]", stream=True, max_tokens=9000)
            )
            await client.answered.wait()
            client.disconnect_requested.set()
        await second_client.call("POST", "/v1/kv/export", {"request_id": "r1"})
        assert second_client.status == 200
    [ended] = [each for each in read_records(tmp_path / "record") if each["event"] == "ended"]
    assert ended["outcome"] == "aborted"
    assert 0 < ended["tokens"] < 9000


async def test_cancelled_stream_ends_without_done() -> None:
    async with running_engine() as app:
        client, second_client = Client(app), Client(app)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: client.complete("hi", stream=True, max_tokens=9000))
            await client.answered.wait()
            await second_client.call("POST", "/v1/cancel", {"request_id": "r1", "attempt_id": "a1"})
        assert second_client.json()["cancelled"] is True
        await second_client.call("POST", "/v1/cancel", {"request_id": "r1", "attempt_id": "a1"})
        assert second_client.json() == {"cancelled": False, "tokens": 0}
    assert client.events()[-1] == '{"error": {"type": "cancelled"}}'


async def test_stalled_stream_is_silent_after_its_tokens() -> None:
    async with running_engine() as app:
        client, second_client = Client(app), Client(app)
        await second_client.set_behaviour(stall_after_tokens=2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: client.complete("hi [len=5]", stream=True))
            await client.answered.wait()
            while app.engine.has_streams():
                await anyio.lowlevel.checkpoint()
            # All five tokens were generated; pending sends are completed.
            await anyio.wait_all_tasks_blocked()
            client.disconnect_requested.set()
    assert client.tokens() == answer_of(MODEL, messages_of("hi [len=5]")).text(0, 2)


async def test_frozen_report_stays_as_it_was() -> None:
    async with running_engine() as app:
        client = Client(app)
        before = (await client.call("GET", "/v1/load")).json()
        await client.set_behaviour(report_frozen=True, leaving=True)
        assert (await client.call("GET", "/v1/load")).json() == before


async def test_order_with_a_stale_fence_gets_the_newest_one() -> None:
    async with running_engine() as app:
        client = Client(app)
        await client.call("POST", "/v1/orders", {"kind": "role", "role": "prefill", "fence": 3})
        assert client.json() == {"state": "role"}
        await client.call("POST", "/v1/orders", {"kind": "role", "role": "decode", "fence": 2})
        assert (client.status, client.json()) == (409, {"fence": 3})
        assert (await client.call("GET", "/v1/load")).json()["role"] == "prefill"


async def test_invalid_bodies_and_misspelt_behaviours_are_refused() -> None:
    async with running_engine() as app:
        client = Client(app)
        assert (await client.call("POST", COMPLETIONS, {"model": MODEL})).status == 400
        assert (await client.call("POST", "/_standin/behaviour", {"leavin": True})).status == 400


# As a process.


def post(address: str, path: str, body: object) -> httpcore.Response:
    return httpcore.request("POST", f"http://{address}{path}", content=orjson.dumps(body))


def receive_stream(address: str, body: object, received: list[bytes]) -> None:
    """Append the parts of a streamed answer to a list as they arrive."""
    url = f"http://{address}{COMPLETIONS}"
    with httpcore.stream("POST", url, content=orjson.dumps(body)) as response:
        received.extend(response.iter_stream())


def wait_for_load_report(address: str) -> dict[str, object]:
    """Return the load report as soon as the engine accepts connections."""
    deadline = time.monotonic() + SAFETY_TIMEOUT_S
    while True:
        try:
            response = httpcore.request("GET", f"http://{address}/v1/load")
        except httpcore.NetworkError:
            assert time.monotonic() < deadline, "the engine did not listen again"
            continue
        parsed = orjson.loads(response.content)
        assert isinstance(parsed, dict)
        return parsed


def test_crashed_engine_closes_its_connections_and_returns_as_a_new_incarnation(
    tmp_path: Path,
) -> None:
    """Test a crash at the first token of a request with the crash marker.

    Guards against an answer after the crash, and against an unchanged incarnation of the engine
    that listens again without its earlier state.
    """
    record = tmp_path / "record"
    args = ("--models", MODEL, "--down-s", "0.05", "--record", str(record))
    with standin("engine", *args, directory=tmp_path) as engine:
        before = wait_for_load_report(engine.address)
        body = {"model": MODEL, "messages": [{"role": "user", "content": "[crash]"}]}
        with pytest.raises((httpcore.ProtocolError, httpcore.NetworkError)):
            post(engine.address, COMPLETIONS, body)
        after = wait_for_load_report(engine.address)
    assert after["incarnation"] != before["incarnation"]
    events = [each["event"] for each in read_records(record)]
    assert events == ["life", "received", "started", "crash", "ended", "life"]


def test_crashing_process_exits_with_its_tokens_recorded(tmp_path: Path) -> None:
    record = tmp_path / "record"
    args = ("--models", MODEL, "--crash-mode", "exit", "--record", str(record))
    with standin("engine", *args, directory=tmp_path) as engine:
        body = {"model": MODEL, "messages": [{"role": "user", "content": "[crash]"}]}
        with pytest.raises((httpcore.ProtocolError, httpcore.NetworkError)):
            post(engine.address, COMPLETIONS, body)
        assert engine.wait() == 9
    assert sum(tokens_by_attempt(read_records(record)).values()) == 1


def test_cut_connection_breaks_one_answer_after_its_tokens(tmp_path: Path) -> None:
    with standin("engine", "--models", MODEL, directory=tmp_path) as engine:
        post(engine.address, "/_standin/behaviour", {"cut_after_tokens": 2, "cut_once": True})
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "hi [len=9]"}],
            "stream": True,
        }
        received: list[bytes] = []
        with pytest.raises(httpcore.RemoteProtocolError):
            receive_stream(engine.address, body, received)
        assert b"".join(received).count(b'"content"') == 2
        complete_body = post(engine.address, COMPLETIONS, body).content
        assert complete_body.count(b'"content"') == 9
