"""Tests of decoding requests, answers, server entries and settings, valid and malformed."""

from __future__ import annotations

import json
import re
from pathlib import Path
from random import Random
from typing import Any

import pytest

from tests.platform.platform_world import HOST, KEY, document
from turmericweir.answers.caller_refusal import RefusedError
from turmericweir.answers.forward_wire import (
    AnswerAccepted,
    AnswerNotRun,
    AnswerRejected,
    ForwardCall,
    RequestHead,
)
from turmericweir.process.entry_settings import parse_entry_settings
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import Config, ServiceKind
from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.route_classes import class_of_route
from turmericweir_platform.server_entries import decode_entry, decode_incarnation
from turmericweir_platform.settings_document import decode_document
from turmericweir_platform.wire import PlatformWire

ROOT = Path(__file__).resolve().parents[2]
ENTRY = {"service": "lm", "address": "10.0.0.1:80", "zone": "dc-1", "state": "ready"}
# Matches any non-empty message.
ANY_MESSAGE = r"\w"
WIRE = PlatformWire()
CALL = ForwardCall(b"GET", b"/", (), b"", b"a1", False, False, b"")


def config(**changes: Any) -> Config:
    return decode_document(json.dumps({**document(4), **changes}).encode())[1]


def head(path: str, *headers: tuple[bytes, bytes], arrived: float = 100.0) -> RequestHead:
    all_headers = [
        (b"host", HOST.encode()),
        (b"x-key", KEY.encode()),
        (b"x-attempt-id", b"a1"),
        *headers,
    ]
    return RequestHead(b"POST", path.encode(), all_headers, arrived)


# --- servers' entries ---


def test_entry_is_decoded_and_unknown_fields_are_ignored() -> None:
    entry = decode_entry("i-1", json.dumps({**ENTRY, "born": 17, "novel": [1]}).encode())
    assert (entry.name, entry.incarnation, entry.leaving) == ("i-1", "17", False)


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"address": "10.0.0.1"},
        {"address": ":80"},
        {"address": "10.0.0.1:http"},
        {"zone": 3},
        {"state": "novel"},
        {"state": ["ready"]},
        {"max-concurrency": "many"},
        {"born": "today"},
    ],
)
def test_malformed_entry_is_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=ANY_MESSAGE):
        decode_entry("i-1", json.dumps({**ENTRY, **change}).encode())


@pytest.mark.parametrize("raw", [b"", b"\xff", b"[]", b"null", b'{"service":'])
def test_bytes_that_are_not_an_entry_are_rejected(raw: bytes) -> None:
    with pytest.raises(ValueError, match=ANY_MESSAGE):
        decode_entry("i-1", raw)


@pytest.mark.parametrize(
    ("raw", "incarnation"),
    [(b'{"born": 17, "novel": [1]}', "17"), (b"{}", ""), (b'{"born": "today"}', ""), (b"", "")],
)
def test_report_names_its_incarnation_as_the_entry_does(raw: bytes, incarnation: str) -> None:
    assert decode_incarnation(raw) == incarnation


# --- the operator's settings ---


def test_document_is_decoded() -> None:
    cfg = config()
    route = cfg.routes.find_route(HOST, "/lm/chat/7")
    assert route is not None
    assert (route.name, route.streamed, route.repeatable, route.sends_max) == (
        "chat",
        True,
        True,
        3,
    )
    assert cfg.services["lm"].kind is ServiceKind.MODEL
    assert cfg.services["shop"].kind is ServiceKind.PLAIN
    assert KEY not in repr(cfg.customers)


@pytest.mark.parametrize(
    "change",
    [
        {"version": "four"},
        {"routes": {}},
        {"routes": [{"name": "doc"}]},
        {"services": [{"name": 1}]},
        {"limits": {"max-body-bytes": "much"}},
        {"tenants": [{"api-keys": ["k"]}]},
    ],
)
def test_document_with_a_wrong_type_is_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=ANY_MESSAGE):
        config(**change)


def test_no_key_is_required_without_customers() -> None:
    cfg = config(tenants=None)
    inquiry = WIRE.parse_request(cfg, Random(1), head("/shop/look/"), b"", RequestId("a1"))
    assert inquiry.request.customer == ""


# --- callers ---


def test_deadline_is_the_earlier_of_caller_and_route() -> None:
    cfg = config()
    short_wait = head("/shop/look/", (b"x-deadline-ms", b"400"))
    request = WIRE.parse_request(cfg, Random(1), short_wait, b"", RequestId("a1")).request
    # Leaves time to deliver an error before the deadline.
    assert 100.3 < request.deadline < 100.4
    long_wait = head("/shop/look/", (b"x-deadline-ms", b"90000"))
    assert (
        WIRE.parse_request(cfg, Random(1), long_wait, b"", RequestId("a1")).request.deadline
        == 106.0
    )


@pytest.mark.parametrize(
    ("path", "headers", "reason"),
    [
        ("/nowhere/", (), Reason.UNKNOWN_TARGET),
        ("/shop/look/", ((b"x-key", b"wrong"),), Reason.UNAUTHORISED),
        ("/shop/look/", ((b"x-deadline-ms", b"soon"),), Reason.BAD_REQUEST),
        ("/shop/look/", ((b"x-deadline-ms", b"nan"),), Reason.BAD_REQUEST),
        ("/shop/look/", ((b"x-deadline-ms", b"-1"),), Reason.BAD_REQUEST),
        ("/lm/doc/", ((b"x-token-count", b"many"),), Reason.BAD_REQUEST),
        ("/lm/doc/", ((b"x-token-count", b"7,some"),), Reason.BAD_REQUEST),
    ],
)
def test_request_that_cannot_be_served_is_refused_with_a_reason(
    path: str, headers: tuple[tuple[bytes, bytes], ...], reason: Reason
) -> None:
    with pytest.raises(RefusedError) as refused:
        WIRE.parse_request(config(), Random(1), head(path, *headers), b"", RequestId("a1"))
    assert refused.value.reason is reason


def test_connection_and_system_headers_are_not_forwarded() -> None:
    request_head = head(
        "/shop/look/",
        (b"connection", b"close, x-hop"),
        (b"x-hop", b"1"),
        (b"x-expect-instance", b"forged"),
        (b"x-tenant", b"forged"),
        (b"x-own", b"kept"),
    )
    call = WIRE.parse_request(config(), Random(1), request_head, b"", RequestId("a1")).call
    names = {name for name, _ in call.headers}
    assert b"x-own" in names
    assert not names & {b"x-hop", b"x-key", b"connection", b"x-expect-instance"}
    assert [value for name, value in call.headers if name == b"x-tenant"] == [b"school"]


# --- servers' answers ---


@pytest.mark.parametrize(
    ("status", "headers", "verdict_class"),
    [
        (200, {b"x-attempt-id": b"a1", b"x-server-signature": b"s"}, AnswerAccepted),
        (200, {b"x-attempt-id": b"a1"}, AnswerRejected),
        (200, {b"x-attempt-id": b"a2", b"x-server-signature": b"s"}, AnswerRejected),
        (200, {b"x-server-signature": b"s"}, AnswerRejected),
        (500, {b"x-attempt-id": b"a1"}, AnswerAccepted),
        (503, {b"x-attempt-id": b"a1"}, AnswerRejected),
        (429, {b"x-attempt-id": b"a1"}, AnswerRejected),
        (408, {b"x-attempt-id": b"a1"}, AnswerRejected),
        (503, {b"x-attempt-id": b"a1", b"x-not-executed": b"1"}, AnswerNotRun),
        (503, {b"x-attempt-id": b"a2", b"x-not-executed": b"1"}, AnswerRejected),
        (421, {}, AnswerNotRun),
    ],
)
def test_verdict_on_an_answer_follows_from_status_and_headers(
    status: int, headers: dict[bytes, bytes], verdict_class: type[object]
) -> None:
    assert isinstance(WIRE.judge_answer(CALL, status, headers), verdict_class)


@pytest.mark.parametrize(
    ("status", "headers", "limit_s"),
    [
        (200, {b"x-attempt-id": b"a1", b"server-limit": b"1.7"}, 1.7),
        (200, {b"x-attempt-id": b"a1"}, None),
        (500, {b"x-attempt-id": b"a1", b"server-limit": b"0"}, 0.0),
        (503, {b"x-not-executed": b"1", b"server-limit": b"12"}, 12.0),
    ],
)
def test_limit_of_a_server_is_decoded(
    status: int, headers: dict[bytes, bytes], limit_s: float | None
) -> None:
    notice = WIRE.read_notice(CALL, status, headers)
    assert notice is not None
    assert notice.limit_s == limit_s


@pytest.mark.parametrize(("value", "expected"), [(b"1", True), (b"0", False), (b"", False)])
def test_leaving_of_a_server_is_decoded(value: bytes, expected: bool) -> None:
    notice = WIRE.read_notice(CALL, 200, {b"x-attempt-id": b"a1", b"server-leaving": value})
    assert notice is not None
    assert notice.is_leaving is expected


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (421, {b"x-attempt-id": b"a1", b"server-limit": b"1"}),
        (200, {b"x-attempt-id": b"another", b"server-limit": b"1"}),
        (200, {b"server-limit": b"1"}),
    ],
)
def test_notice_in_another_answer_is_ignored(status: int, headers: dict[bytes, bytes]) -> None:
    """Guards against a limit on a server that another server or a foreign answer named."""
    assert WIRE.read_notice(CALL, status, headers) is None


@pytest.mark.parametrize("value", [b"", b"many", b"-1", b"nan", b"inf"])
def test_malformed_limit_is_reported_and_the_rest_is_decoded(value: bytes) -> None:
    """Guards against losing the leaving of a server to another malformed statement."""
    headers = {b"x-attempt-id": b"a1", b"server-limit": value, b"server-leaving": b"1"}
    notice = WIRE.read_notice(CALL, 200, headers)
    assert notice is not None
    assert notice.is_leaving
    assert (notice.limit_s, notice.limit_error != "") == (None, True)


@pytest.mark.parametrize(
    ("status", "value", "pause_s"),
    [
        (503, b"3", 3.0),
        (429, b"0.25", 0.25),
        (503, b"Thu, 03 Dec 2026 12:00:00 GMT", 0.0),
        (503, b"-1", 0.0),
        (500, b"3", 0.0),
    ],
)
def test_pause_of_a_server_is_decoded(status: int, value: bytes, pause_s: float) -> None:
    headers = {b"x-attempt-id": b"a1", b"x-not-executed": b"1", b"retry-after": value}
    notice = WIRE.read_notice(CALL, status, headers)
    assert notice is not None
    assert notice.pause_s == pause_s


# --- refusals ---


@pytest.mark.parametrize(
    ("outcome", "reason", "status"),
    [
        (Outcome.NOT_RUN, Reason.OVERLOAD, 503),
        (Outcome.NOT_RUN, Reason.DEADLINE, 503),
        (Outcome.FAILED, Reason.DEADLINE, 504),
        (Outcome.UNKNOWN, Reason.DEADLINE, 504),
        (Outcome.FAILED, Reason.SERVER_LOST, 502),
        (Outcome.UNKNOWN, Reason.SERVER_LOST, 502),
    ],
)
def test_status_503_is_used_only_for_requests_that_were_not_run(
    outcome: Outcome, reason: Reason, status: int
) -> None:
    problem = WIRE.account_problem(Account("a1", outcome, reason, "", retry_after_s=0.7))
    headers = dict(problem.headers)
    assert problem.status == status
    assert (b"retry-after" in headers) == (status == 503)


# --- the settings file ---


def settings(**changes: Any) -> str:
    base = {
        "name": "entry-1",
        "data_centre": "dc-1",
        "region": "home",
        "caller_address": "10.0.0.1:80",
        "readiness_address": "10.0.0.1:81",
        "peer_address": "10.0.0.1:82",
        "store": {"address": "10.0.0.9:83"},
    }
    return json.dumps({**base, **changes})


def test_comments_in_the_settings_file_are_ignored() -> None:
    cfg = parse_entry_settings("// of a machine\n" + settings(), "file").unwrap()
    assert cfg.name == "entry-1"
    assert cfg.peer_seeds == ()


@pytest.mark.parametrize(
    ("change", "setting"),
    [
        ({"caller_address": "10.0.0.1"}, "caller_address"),
        ({"caller_address": "host:80"}, "caller_address"),
        ({"peer_address": "10.0.0.1:99999"}, "peer_address"),
        ({"store": {"address": "nowhere"}}, "store.address"),
        ({"store": {}}, "address"),
        ({"name": ""}, "name"),
        ({"metrics_port": 70_000}, "metrics_port"),
        ({"bounds": {"grace_s": "long"}}, "grace_s"),
        ({"bounds": {"drain_ms": "nan"}}, "drain_ms"),
        ({"machine": {"memory_mb": "inf"}}, "memory_mb"),
        ({"machine": {"link_mbps": "nan"}}, "link_mbps"),
        ({"duties": {"address": "10.0.0.9:84", "lease_ms": "inf"}}, "lease_ms"),
    ],
)
def test_error_names_the_invalid_setting(change: dict[str, Any], setting: str) -> None:
    error = parse_entry_settings(settings(**change), "file").failure()
    assert setting in str(error)
    assert "file" in str(error)


# --- what the deployment installs ---


def test_deployment_installs_the_tested_versions() -> None:
    pinned = _pins((ROOT / "deploy" / "requirements.txt").read_text())
    tested = {}
    for path in [*ROOT.glob("packages/*/pyproject.toml"), ROOT / "platform" / "pyproject.toml"]:
        tested.update(_pins(path.read_text()))
    assert pinned
    assert {name: tested.get(name) for name in pinned if name in tested} == {
        name: version for name, version in pinned.items() if name in tested
    }
    assert {"msgspec", "uvicorn", "httpcore"} <= set(pinned) & set(tested)


def _pins(text: str) -> dict[str, str]:
    return dict(re.findall(r"([a-z0-9_-]+)(?:\[[a-z]+\])?==([0-9.]+)", text))


# --- order of classes ---


def ranked_classes(*customer_priorities: int | None) -> dict[str, int]:
    """Return the ranks of the classes of two tiers, with customers of the given priorities."""
    routes = document(4)["routes"]
    routes[0]["priority"], routes[1]["priority"] = 2, 0
    customers = [
        {"name": f"c{number}", "api-keys": [f"k{number}"], "priority": priority}
        for number, priority in enumerate(customer_priorities)
    ]
    cfg = config(routes=routes, tenants=customers)
    classes = [
        class_of_route(cfg, route, priority)
        for route in cfg.routes.by_host_and_prefix.values()
        for priority in {
            route.priority,
            *(each for each in customer_priorities if each is not None),
        }
    ]
    return {each.name: each.rank for each in classes if each.rank is not None}


def test_long_prompt_of_an_urgent_customer_does_not_outrank_a_quick_answer() -> None:
    """Guards against quick answers preempted while long prompts of other customers run on."""
    ranks = ranked_classes(0, 1)
    assert max(ranks["chat/0"], ranks["chat/1"]) < min(ranks["doc/0"], ranks["doc/1"])


def test_ranks_do_not_change_with_the_customers() -> None:
    """Guards against streams of two versions of the settings preempting each other."""
    assert ranked_classes(0, 1)["chat/1"] == ranked_classes(1)["chat/1"]
    assert ranked_classes(0, 1, 3)["doc/1"] == ranked_classes(1)["doc/1"]
