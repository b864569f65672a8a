"""Test the load callers: plans, checks and results, and calls to a scripted entry."""

from __future__ import annotations

import itertools
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import anyio
import anyio.abc
import orjson
import pytest

from turmericweir_standins.callers import (
    GAVE_UP,
    READY_LINE,
    RESULT_WORD,
    Callers,
    results_json,
)
from turmericweir_standins.callers_check import (
    Check,
    Event,
    EventReader,
    check_echo,
    check_text,
)
from turmericweir_standins.callers_result import CallResult, find_violations, spread_of, summarise
from turmericweir_standins.callers_workload import (
    AnswerLength,
    Burst,
    Kind,
    Traffic,
    Workload,
    parse_workload,
    plan,
    prompt_of,
)
from turmericweir_standins.engine_answer import Answer, ChatMessage, answer_of
from turmericweir_standins.procs import free_address, standin
from turmericweir_standins.record import Recorder, read_records

SAFETY_S = 20.0
TOKENS = 5
EXPECTED = Answer("0123abcd", TOKENS, "stop")
OTHER = Answer("fedcba98", TOKENS, "stop")

FITTING = Traffic(
    name="fitting",
    kind=Kind.MODEL,
    rate=50.0,
    tokens=("token-a",),
    model="tailor-lm",
    answer=AnswerLength(median=TOKENS),
)
RESERVE = Traffic(
    name="reserve",
    kind=Kind.PLAIN,
    rate=50.0,
    tokens=("token-a",),
    path="/services/counter-api/reserve/{n}",
    keyed=True,
)


def one_call(traffic: Traffic) -> Workload:
    """Return a workload with exactly one call."""
    workloads = (Workload((traffic,), 1 / traffic.rate, seed) for seed in itertools.count())
    return next(workload for workload in workloads if len(plan(workload)) == 1)


# A scripted entry: it reads complete requests and writes the bytes that its script returns.


@dataclass(frozen=True)
class Received:
    """One request received by the entry."""

    head: str
    body: bytes
    # The correct answer to it.
    answer: Answer

    @property
    def path(self) -> str:
        return self.head.split(" ")[1]

    def header(self, name: str) -> str:
        found = re.search(rf"^{name}: (.*)\r$", self.head, re.IGNORECASE | re.MULTILINE)
        assert found is not None, name
        return found[1]


# Returns the bytes of the answer; None for no answer.
Script = Callable[[Received], bytes | None]


class ScriptedEntry:
    """An entry that answers with the bytes of its script."""

    def __init__(self, script: Script) -> None:
        self.received: list[Received] = []
        self._script = script

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                await self._answer_all(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def _answer_all(self, stream: anyio.abc.SocketStream) -> None:
        while True:
            request = await _receive(stream)
            self.received.append(request)
            answer = self._script(request)
            if answer is None:
                await anyio.sleep_forever()
                return
            await stream.send(answer)
            if b"Connection: close" in answer or not answer:
                return


async def _receive(stream: anyio.abc.SocketStream) -> Received:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(re.findall(rb"(?i)content-length: (\d+)", head)[0])
    while len(body) < length:
        body += await stream.receive()
    return Received(head.decode() + "\r\n", body, _answer_to(body))


def _answer_to(body: bytes) -> Answer:
    if not body.startswith(b"{"):
        return EXPECTED
    value = orjson.loads(body)
    messages = [ChatMessage.model_validate(message) for message in value["messages"]]
    return answer_of(value["model"], messages, value.get("max_tokens"))


def call_entry(workload: Workload, script: Script) -> tuple[list[CallResult], list[Received]]:
    """Send the workload to a scripted entry; return the results and the received requests."""

    async def scenario() -> tuple[list[CallResult], list[Received]]:
        entry = ScriptedEntry(script)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        with anyio.fail_after(SAFETY_S):
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, entry.serve)
                # The first address refuses connections; each call must use the second one.
                results = await Callers(workload, [free_address(), f"127.0.0.1:{port}"]).run()
                tasks.cancel_scope.cancel()
        return results, entry.received

    return anyio.run(scenario)


# Parts of answers.


def complete_answer(outcome: str, body: bytes, status: int = 200, request_id: str = "r1") -> bytes:
    head = (
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nTurmericweir-Outcome: {outcome}\r\n"
        f"Turmericweir-Request-Id: {request_id}\r\n\r\n"
    )
    return head.encode() + body


def echo(request: Received, run: int = 1) -> bytes:
    key = request.header("Idempotency-Key")
    return orjson.dumps({"echo": request.body.decode(), "key": key, "run": run})


def token_event(answer: Answer, index: int) -> bytes:
    choice = {"index": 0, "delta": {"content": answer.token(index)}, "finish_reason": None}
    return b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n"


def outcome_event(outcome: str) -> bytes:
    value = {"outcome": outcome, "reason": "why", "request_id": "r1"}
    return b"event: turmericweir.outcome\ndata: " + orjson.dumps(value) + b"\n\n"


DONE = b"data: [DONE]\n\n"
COMPLETED = outcome_event("completed") + DONE


def stream_of(events: Sequence[bytes], *, ends: bool = True, piece: int = 1000) -> bytes:
    """Return a chunked event stream; the chunks do not follow the limits of events."""
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        b"Turmericweir-Request-Id: r1\r\nTurmericweir-Outcome: in-stream\r\n"
        b"Connection: close\r\n\r\n"
    )
    body = b"".join(events)
    pieces = [body[start : start + piece] for start in range(0, len(body), piece)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in pieces)
    return head + chunks + (b"0\r\n\r\n" if ends else b"")


def tokens_of(answer: Answer, indexes: Sequence[int] = range(TOKENS)) -> list[bytes]:
    return [token_event(answer, index) for index in indexes]


class TestPlan:
    def test_seed_decides_the_plan(self) -> None:
        workload = Workload((FITTING,), duration_s=2.0, seed=1)
        assert plan(workload) == plan(workload)
        assert plan(workload) != plan(replace(workload, seed=2))

    def test_another_class_does_not_change_the_plan(self) -> None:
        alone = plan(Workload((FITTING,), 2.0, seed=1))
        both = plan(Workload((FITTING, RESERVE), 2.0, seed=1))
        assert [call for call in both if call.traffic is FITTING] == alone

    def test_longer_answers_do_not_change_the_times(self) -> None:
        longer = replace(FITTING, answer=AnswerLength(median=500, spread=1.0))
        times = [call.at_s for call in plan(Workload((FITTING,), 2.0, seed=1))]
        assert [call.at_s for call in plan(Workload((longer,), 2.0, seed=1))] == times

    def test_burst_changes_the_rate_while_it_lasts(self) -> None:
        pause_burst = Burst(start_s=0.5, length_s=0.5, factor=0.0, every_s=1.0)
        calls = plan(Workload((replace(FITTING, bursts=(pause_burst,)),), 4.0, seed=1))
        assert calls
        assert all(call.at_s % 1.0 < 0.5 for call in calls)

    def test_burst_adds_calls(self) -> None:
        burst = Burst(start_s=1.0, length_s=1.0, factor=10.0)
        calls = plan(Workload((replace(FITTING, bursts=(burst,)),), 2.0, seed=1))
        burst_calls = sum(call.at_s >= 1.0 for call in calls)
        assert burst_calls > 5 * (len(calls) - burst_calls)

    def test_answer_lengths_keep_their_bounds(self) -> None:
        length = AnswerLength(median=100, spread=2.0, least=20, most=300)
        calls = plan(Workload((replace(FITTING, answer=length),), 10.0, seed=1))
        lengths = {call.answer_tokens for call in calls if call.answer_tokens is not None}
        assert min(lengths) == 20
        assert max(lengths) == 300

    def test_prompts_share_their_beginning_and_differ_after_it(self) -> None:
        traffic = replace(FITTING, shared_words=30, prompt_words=10)
        calls = plan(Workload((traffic,), 2.0, seed=1))
        prompts = [prompt_of(call) for call in calls]
        assert len({prompt[0].content for prompt in prompts}) == 1
        assert len({prompt[1].content for prompt in prompts}) == len(prompts)
        assert len(prompts[0][0].content.split()) == 30
        assert prompts[0][1].content.endswith(f"[len={TOKENS}]")

    def test_workload_from_json(self) -> None:
        workload = Workload(
            (replace(FITTING, bursts=(Burst(1.0, 2.0, 3.0),)), RESERVE), 5.0, seed=9
        )
        assert parse_workload(orjson.dumps(workload)) == workload


class TestChecks:
    @pytest.mark.parametrize(
        ("text", "check"),
        [
            (EXPECTED.text(), Check.WHOLE),
            ("", Check.PARTIAL),
            (EXPECTED.text(0, 3), Check.PARTIAL),
            (EXPECTED.text()[:-4], Check.PARTIAL),
            (EXPECTED.text(0, 2) + EXPECTED.text(3), Check.LOST),
            (EXPECTED.text(1), Check.LOST),
            (EXPECTED.text(0, 3) + EXPECTED.text(2), Check.DOUBLED),
            (EXPECTED.text() + EXPECTED.text(), Check.DOUBLED),
            (EXPECTED.text() + EXPECTED.token(TOKENS), Check.DOUBLED),
            (OTHER.text(), Check.FOREIGN),
            (EXPECTED.text(0, 2) + OTHER.text(2), Check.FOREIGN),
            ("Dear parent", Check.MALFORMED),
            (EXPECTED.text(0, 2) + "x", Check.MALFORMED),
        ],
    )
    def test_text(self, text: str, check: Check) -> None:
        assert check_text(text, EXPECTED, "stop") is check

    def test_text_capped_for_lack_of_memory(self) -> None:
        assert check_text(EXPECTED.text(0, 3), EXPECTED, "length") is Check.CAPPED

    @pytest.mark.parametrize(
        ("answer", "check"),
        [
            ({"echo": "mine", "key": "k", "run": 1}, Check.WHOLE),
            ({"echo": "mine", "key": "k", "run": 2}, Check.DOUBLED),
            ({"echo": "yours", "key": "k", "run": 1}, Check.FOREIGN),
            ({"echo": "mine", "key": "other", "run": 1}, Check.FOREIGN),
            ({"error": "no"}, Check.MALFORMED),
            (None, Check.MALFORMED),
        ],
    )
    def test_echo(self, answer: object, check: Check) -> None:
        assert check_echo(answer, "mine", "k") is check

    def test_events_are_parsed_for_any_split_of_the_bytes(self) -> None:
        data = b"data: one\n\nevent: named\ndata: two\ndata: three\n\n: comment\n\n"
        expected_events = [Event("message", b"one"), Event("named", b"two\nthree")]
        for size in range(1, len(data) + 1):
            reader = EventReader()
            pieces = [data[start : start + size] for start in range(0, len(data), size)]
            assert [event for piece in pieces for event in reader.feed(piece)] == expected_events


class TestResults:
    def test_spread_is_by_nearest_rank(self) -> None:
        spread = spread_of(float(value) for value in range(100, 0, -1))
        assert (spread.p50, spread.p95, spread.p99, spread.most) == (50, 95, 99, 100)
        assert spread_of([]).p50 is None

    def test_summary_counts_only_complete_answers_in_time(self) -> None:
        good = CallResult(
            "fitting",
            0,
            request_id="a",
            status=200,
            outcome="completed",
            check=Check.WHOLE,
            first_token_s=0.5,
            target_s=1.0,
        )
        late = replace(good, number=1, request_id="b", first_token_s=1.5)
        refused = CallResult("fitting", 2, request_id="c", status=503, outcome="not_run")
        cut = replace(good, number=3, request_id="d", check=Check.PARTIAL, outcome="failed")
        report = summarise([good, late, refused, cut], duration_s=2.0)
        summary = report.classes["fitting"]
        assert summary.outcomes == {"completed": 2, "not_run": 1, "failed": 1}
        assert summary.attainment == 0.25
        assert summary.goodput == 0.5
        assert report.violations == []

    @pytest.mark.parametrize(
        ("changes", "violation"),
        [
            ({"check": Check.FOREIGN}, "answer is foreign"),
            ({"check": Check.PARTIAL}, "reported completed, but the answer is partial"),
            ({"outcome": "not_run", "tokens": 3}, "reported not_run after tokens were received"),
            ({"outcome": "failed", "done": True}, "[DONE] with outcome 'failed'"),
            ({"outcome": ""}, "complete answer of status 200 with outcome ''"),
        ],
    )
    def test_violations(self, changes: dict[str, object], violation: str) -> None:
        good = CallResult("x", 0, status=200, outcome="completed", check=Check.WHOLE)
        assert good.violations() == []
        # The keys of `changes` are names of fields.
        bad = replace(good, **changes)  # type: ignore[arg-type]
        assert violation in bad.violations()

    def test_forwarded_server_error_is_no_violation(self) -> None:
        result = CallResult("x", 0, status=500, outcome="completed")
        assert result.violations() == []
        assert not result.is_good

    def test_repeated_request_id_is_a_violation(self) -> None:
        first = CallResult("x", 0, request_id="r", status=200, outcome="not_run")
        second = replace(first, number=1)
        assert find_violations([first, second]) == ["x 1 (r): the request id of x 0 (r)"]


class TestCalls:
    def test_complete_streams(self) -> None:
        workload = Workload((FITTING,), duration_s=0.2, seed=1)
        results, received = call_entry(
            workload, lambda request: stream_of([*tokens_of(request.answer), COMPLETED])
        )
        assert len(results) == len(received) == len(plan(workload)) > 1
        assert all(result.is_good for result in results)
        assert all(result.tokens == TOKENS == len(result.gaps_s) + 1 for result in results)

    @pytest.mark.parametrize("piece", [1, 7, 100])
    def test_stream_in_any_pieces(self, piece: int) -> None:
        (result,), _ = call_entry(
            one_call(FITTING),
            lambda request: stream_of([*tokens_of(request.answer), COMPLETED], piece=piece),
        )
        assert result.is_good
        assert result.done
        assert (result.request_id, result.reason) == ("r1", "why")

    def test_complete_answer_without_streaming(self) -> None:
        def script(request: Received) -> bytes:
            message = {"role": "assistant", "content": request.answer.text()}
            choice = {"index": 0, "message": message, "finish_reason": "stop"}
            return complete_answer("completed", orjson.dumps({"choices": [choice]}))

        (result,), _ = call_entry(one_call(replace(FITTING, stream=False)), script)
        assert result.is_good
        assert result.tokens == TOKENS

    def test_request_carries_token_deadline_and_key(self) -> None:
        traffic = replace(RESERVE, deadline_s=1.5)
        (result,), (request,) = call_entry(
            one_call(traffic), lambda request: complete_answer("completed", echo(request))
        )
        assert result.is_good
        assert request.path == "/services/counter-api/reserve/0"
        assert request.header("Authorization") == "Bearer token-a"
        assert request.header("Turmericweir-Deadline-Ms") == "1500"
        assert request.header("Idempotency-Key") == result.key

    def test_stream_that_failed_midway(self) -> None:
        # Guards against a violation for a partial answer whose last event reports the failure.
        (result,), _ = call_entry(
            one_call(FITTING),
            lambda request: stream_of([*tokens_of(request.answer)[:3], outcome_event("failed")]),
        )
        assert (result.check, result.outcome, result.tokens) == (Check.PARTIAL, "failed", 3)
        assert not result.is_good
        assert result.violations() == []

    def test_stream_that_is_cut(self) -> None:
        # Guards against counting a stream without an end as an answer.
        (result,), _ = call_entry(
            one_call(FITTING),
            lambda request: stream_of(tokens_of(request.answer)[:3], ends=False),
        )
        assert (result.check, result.outcome, result.tokens) == (Check.PARTIAL, "", 3)
        assert result.error == "RemoteProtocolError"

    @pytest.mark.parametrize(
        ("events", "check"),
        [
            (lambda answer: tokens_of(OTHER), Check.FOREIGN),
            (lambda answer: tokens_of(answer, [0, 1, 1, 2, 3, 4]), Check.DOUBLED),
            (lambda answer: tokens_of(answer, [0, 2, 3, 4]), Check.LOST),
        ],
    )
    def test_corrupt_streams_are_detected(
        self, events: Callable[[Answer], list[bytes]], check: Check
    ) -> None:
        (result,), _ = call_entry(
            one_call(FITTING), lambda request: stream_of([*events(request.answer), COMPLETED])
        )
        assert result.check is check
        assert f"answer is {check}" in result.violations()

    def test_event_that_is_no_json(self) -> None:
        (result,), _ = call_entry(
            one_call(FITTING), lambda request: stream_of([b"data: {oops\n\n", COMPLETED])
        )
        assert result.check is Check.MALFORMED
        assert result.error == "JSONDecodeError"

    def test_refused_call(self) -> None:
        body = orjson.dumps({"outcome": "not_run", "reason": "overload"})
        (result,), _ = call_entry(
            one_call(FITTING), lambda request: complete_answer("not_run", body, status=503)
        )
        assert (result.status, result.outcome, result.reason) == (503, "not_run", "overload")
        assert result.check is Check.NONE
        assert result.violations() == []

    def test_call_without_answer_is_not_sent_again(self) -> None:
        # Guards against a second send after the connection was closed: the call may have run.
        (result,), received = call_entry(one_call(RESERVE), lambda request: b"")
        assert len(received) == 1
        assert result.status is None
        assert result.outcome == ""
        assert result.error in ("RemoteProtocolError", "ReadError")

    def test_caller_gives_up_after_its_maximum_wait(self) -> None:
        traffic = replace(RESERVE, patience_s=1.0)
        (result,), received = call_entry(one_call(traffic), lambda request: None)
        assert len(received) == 1
        assert result.error == GAVE_UP

    def test_no_entry_is_reachable(self) -> None:
        callers = Callers(one_call(RESERVE), [free_address(), free_address()])
        (result,) = anyio.run(callers.run)
        assert result.error == "ConnectError"

    def test_results_as_json_and_record(self, tmp_path: Path) -> None:
        workload = one_call(RESERVE)
        with Recorder(str(tmp_path / "record")) as recorder:
            results = anyio.run(Callers(workload, [free_address()], recorder=recorder).run)
        value = orjson.loads(results_json(results, duration_s=1.0))
        assert value["report"]["classes"]["reserve"]["errors"] == {"ConnectError": 1}
        (line,) = read_records(tmp_path / "record")
        assert line["event"] == "result"
        assert {name: line[name] for name in value["calls"][0]} == value["calls"][0]


class TestProgram:
    def test_run_against_a_plain_service(self, tmp_path: Path) -> None:
        # The plain service reports no outcome. Guards against callers that do not report the
        # missing outcome as a violation of each call.
        workload = Workload((RESERVE,), duration_s=0.2, seed=1)
        (tmp_path / "load.json").write_bytes(orjson.dumps(workload))
        out = tmp_path / "out.json"
        with standin("service", directory=tmp_path) as service:
            args = ["--workload", str(tmp_path / "load.json"), "--out", str(out)]
            callers = standin("callers", "--entry", service.address, *args, directory=tmp_path)
            with callers:
                assert callers.wait() == 0
        assert callers.lines[0] == READY_LINE
        word, _, text = callers.lines[-1].partition(" ")
        assert word == RESULT_WORD
        report = orjson.loads(text)
        calls = len(plan(workload))
        assert report["classes"]["reserve"]["calls"] == calls > 1
        assert len(report["violations"]) == calls
        assert {call["check"] for call in orjson.loads(out.read_bytes())["calls"]} == {"whole"}
