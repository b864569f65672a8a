"""Tests of the statuses that promise that a request was not run and never will be."""

from __future__ import annotations

import ast
import socket
from collections.abc import Iterator

import pytest

from tests.platform.platform_world import ROOT, PlatformWorld, document, until
from turmericweir.answers.caller_refusal import RefusedError
from turmericweir.answers.forward_wire import AnswerAccepted, ForwardCall
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.reasons import Reason
from turmericweir_platform.wire import PlatformWire

_PROMISES = frozenset({408, 421, 429, 503})
_DAEMON = ROOT / "packages" / "turmericweir" / "turmericweir"
_PLATFORM = ROOT / "platform" / "turmericweir_platform"
# Every function that writes a status to a caller, with what keeps its promises true. A new one has
# to be added here with its own test.
_WRITERS = {
    # The only ones that write to a caller's connection; the others pass through them.
    "answers/caller_answer.py:Caller.write_head": "writes what its caller decided",
    "callers/http_server.py:LimitedProtocol._refuse": "no request was read, see the tests below",
    "callers/http_server.py:LimitedProtocol._end_idle": "no request runs on the connection",
    # Answers of servers, which `judge_answer` has accepted.
    "answers/forward_answer.py:ForwardAnswer._write_head": "judge_answer",
    # Problems, whose status follows from the outcome.
    "answers/caller_answer.py:Caller.write_problem": "account_problem or refusal_problem",
    "answers/forward_answer.py:ForwardAnswer.finish": "account_problem",
    "callers/forward_app.py:ForwardApp._refuse": "refusal_problem, before the request is sent",
    "callers/forward_app.py:ForwardApp._answer_failed": "account_problem of an unknown outcome",
    # The own interface, whose answers name their outcome.
    "answers/caller_answer.py:TokenAnswer._write_whole_answer": "the outcome header",
    "answers/caller_answer.py:StreamAnswer.flush": "status 200",
    "answers/caller_answer.py:StreamAnswer.finish": "make_account_problem",
    "answers/caller_answer.py:WholeAnswer.finish": "make_account_problem",
    "answers/caller_answer.py:PlainAnswer._write_head": "the outcome header",
    "answers/caller_answer.py:PlainAnswer.finish": "make_account_problem",
    "callers/caller_app.py:CallerApp._refuse": "make_refusal, before the request is sent",
    "callers/caller_app.py:CallerApp._answer_internal_error": "status 500",
    "callers/caller_app.py:_send_json": "status 200",
    # Ports that no caller uses.
    "operations/admin_app.py:send_json": "operators",
    "operations/operator_http.py:OperatorRequest._send": "operators",
    "process/prometheus_metrics.py:MetricsApp.__call__": "the collector",
    "readiness.py:ReadinessApp.__call__": "the balancer",
}
_WRITING_CALLS = frozenset({"write_head", "write_problem", "_problem_bytes"})
_RESPONSE_START = "http.response.start"


class _Finder(ast.NodeVisitor):
    """Finds the functions that write a status."""

    def __init__(self, module: str) -> None:
        self._module = module
        self._scope: list[str] = []
        self.found: set[str] = set()

    def _visit_scope(self, node: ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef) -> None:
        self._scope.append(node.name)
        self.generic_visit(node)
        self._scope.pop()

    visit_ClassDef = visit_FunctionDef = visit_AsyncFunctionDef = _visit_scope  # noqa: N815

    def visit_Call(self, node: ast.Call) -> None:
        name = node.func.attr if isinstance(node.func, ast.Attribute) else ""
        name = node.func.id if isinstance(node.func, ast.Name) else name
        if name in _WRITING_CALLS:
            self._add()
        self.generic_visit(node)

    def visit_Constant(self, node: ast.Constant) -> None:
        if node.value == _RESPONSE_START:
            self._add()

    def _add(self) -> None:
        self.found.add(f"{self._module}:{'.'.join(self._scope)}")


def _writers() -> set[str]:
    found: set[str] = set()
    for root in (_DAEMON, _PLATFORM):
        for path in root.rglob("*.py"):
            finder = _Finder(str(path.relative_to(root)))
            finder.visit(ast.parse(path.read_text()))
            found |= finder.found
    return found


def test_every_place_that_writes_a_status_is_known() -> None:
    # Guards against a new place that promises that a request was not run.
    assert _writers() == set(_WRITERS)


@pytest.mark.parametrize("outcome", [each for each in Outcome if each is not Outcome.COMPLETED])
@pytest.mark.parametrize("reason", Reason)
def test_account_promises_only_what_its_outcome_says(outcome: Outcome, reason: Reason) -> None:
    # Guards against a promise for a request that may have run, and against none where it holds.
    status = PlatformWire().account_problem(Account("a", outcome, reason, "")).status
    if outcome is Outcome.NOT_RUN:
        assert status in _PROMISES or 400 <= status < 500
    else:
        assert status not in _PROMISES


@pytest.mark.parametrize("reason", Reason)
def test_refusal_before_the_queue_promises_that_nothing_ran(reason: Reason) -> None:
    problem = PlatformWire().refusal_problem("a", RefusedError(reason))
    names = [name for name, _ in problem.headers]
    assert (problem.status in _PROMISES) == (b"retry-after" in names)


@pytest.mark.parametrize("is_streamed", [False, True])
@pytest.mark.parametrize("status", sorted(_PROMISES))
def test_promise_of_a_server_is_passed_on_only_with_its_mark(
    status: int, is_streamed: bool
) -> None:
    # Guards against passing on a promise that the server has not made.
    call = ForwardCall(b"POST", b"/", (), b"", b"a", is_streamed, is_streamed, b"")
    headers = {b"x-attempt-id": b"a", b"x-server-signature": b"s"}
    assert not isinstance(PlatformWire().judge_answer(call, status, headers), AnswerAccepted)


@pytest.fixture(scope="module")
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformWorld]:
    """Yield a world with one instance whose callers have little time for their headers."""
    with PlatformWorld(tmp_path_factory.mktemp("refused")) as world:
        limits = {**document(1)["limits"], "header-timeout-ms": 200}
        world.publish(limits=limits)
        until(lambda: _version_in_force(world) == world.version, "the limits are in force")
        yield world


def _version_in_force(world: PlatformWorld) -> int:
    version: int = world.reported_state("entry-1")["settings_version"]
    return version


@pytest.mark.parametrize(
    "surplus",
    [b"POST /shop/buy/ HTTP/1.1\r\nHost: ", b"\x00\x01 no request\r\n\r\n", b"G" * 40_000],
    ids=["slow head", "no HTTP", "large head"],
)
@pytest.mark.parametrize("path", ["/shop/buy/", "/shop/look/", "/lm/doc/", "/lm/chat/"])
def test_running_request_is_not_answered_by_a_refusal_of_what_follows_it(
    world: PlatformWorld, path: str, surplus: bytes
) -> None:
    # Guards against telling a caller that its request was not run while it runs.
    for server in world.servers.values():
        server.work_s = 1.0
        server.event_interval_s = 0.2
    request_id = world.new_id()
    headers = world.request_headers(path, request_id, Content_Length="1")
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    host, _, port = world.running["entry-1"].caller_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as sock:
        sock.sendall(f"POST {path} HTTP/1.1\r\n{lines}\r\n1".encode())
        until(lambda: len(world.runs(request_id)) == 1, "the request runs")
        sock.sendall(surplus)
        received = b""
        while part := sock.recv(65_536):
            received += part
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b"HTTP/1.1 ") == 1


@pytest.mark.parametrize("path", ["/shop/buy/", "/shop/look/", "/lm/doc/", "/lm/chat/"])
@pytest.mark.parametrize("mode", ["false_promise", "lost"])
def test_request_that_may_have_run_gets_no_promise_after_a_refusal(
    world: PlatformWorld, path: str, mode: str
) -> None:
    # Guards against a refusal of the second server that hides the run of the first.
    world.set_mode("shed")
    world.set_mode(mode, "shop-1", "lm-1")
    for _ in range(4):
        request_id = world.new_id()
        answer = world.send(path, body=request_id.encode(), request_id=request_id)
        if world.runs(request_id):
            assert answer.status not in _PROMISES
        else:
            assert answer.status == 503
    world.set_mode("")
