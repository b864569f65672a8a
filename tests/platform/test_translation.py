"""What callers, operators and servers write, read once: good, broken and unknown."""

from __future__ import annotations

import json
import re
from pathlib import Path
from random import Random
from typing import Any

import pytest

from tests.platform.platform_world import HOST, KEY, document
from turmericweir.answers.caller_refusal import RefusedError
from turmericweir.answers.forward_wire import ForwardCall, NotRun, Passable, RequestHead, Spoiled
from turmericweir.process.entry_settings import parse_entry_settings
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import Config, Kind
from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_platform.entries import decode_entry
from turmericweir_platform.manifest import decode_document
from turmericweir_platform.wire import PlatformWire

ROOT = Path(__file__).resolve().parents[2]
ENTRY = {"service": "lm", "address": "10.0.0.1:80", "zone": "dc-1", "state": "ready"}
# Every refusal says something.
REASON = r"\w"
WIRE = PlatformWire()
CALL = ForwardCall(b"GET", b"/", (), b"", b"a1", False, False, b"")


def config(**changes: Any) -> Config:
    return decode_document(json.dumps({**document(4), **changes}).encode())[1]


def head(path: str, *headers: tuple[bytes, bytes], arrived: float = 100.0) -> RequestHead:
    every = [
        (b"host", HOST.encode()),
        (b"x-key", KEY.encode()),
        (b"x-attempt-id", b"a1"),
        *headers,
    ]
    return RequestHead(b"POST", path.encode(), every, arrived)


# --- servers' entries ---


def test_an_entry_names_a_server_and_unknown_fields_are_left_alone() -> None:
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
def test_a_broken_entry_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=REASON):
        decode_entry("i-1", json.dumps({**ENTRY, **change}).encode())


@pytest.mark.parametrize("raw", [b"", b"\xff", b"[]", b"null", b'{"service":'])
def test_bytes_that_are_no_entry_are_refused(raw: bytes) -> None:
    with pytest.raises(ValueError, match=REASON):
        decode_entry("i-1", raw)


# --- the operator's settings ---


def test_a_document_becomes_routes_classes_customers_and_services() -> None:
    cfg = config()
    route = cfg.routes.find(HOST, "/lm/chat/7")
    assert route is not None
    assert (route.name, route.streamed, route.repeatable, route.sends_max) == (
        "chat",
        True,
        True,
        3,
    )
    assert cfg.services["lm"].kind is Kind.MODEL
    assert cfg.services["shop"].kind is Kind.PLAIN
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
def test_a_document_with_a_wrong_type_is_refused_as_a_whole(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=REASON):
        config(**change)


def test_without_customers_no_key_is_asked_for() -> None:
    cfg = config(tenants=None)
    inquiry = WIRE.read(cfg, Random(1), head("/shop/look/"), b"", RequestId("a1"))
    assert inquiry.request.customer == ""


# --- callers ---


def test_a_request_waits_no_longer_than_its_caller_or_its_route() -> None:
    cfg = config()
    short = head("/shop/look/", (b"x-deadline-ms", b"400"))
    read = WIRE.read(cfg, Random(1), short, b"", RequestId("a1")).request
    # The word that it was not run has some of the time to be on its way.
    assert 100.3 < read.deadline < 100.4
    long = head("/shop/look/", (b"x-deadline-ms", b"90000"))
    assert WIRE.read(cfg, Random(1), long, b"", RequestId("a1")).request.deadline == 106.0


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
def test_a_request_that_cannot_be_served_names_its_reason(
    path: str, headers: tuple[tuple[bytes, bytes], ...], reason: Reason
) -> None:
    with pytest.raises(RefusedError) as refused:
        WIRE.read(config(), Random(1), head(path, *headers), b"", RequestId("a1"))
    assert refused.value.reason is reason


def test_what_belongs_to_a_connection_or_to_the_system_is_not_passed_on() -> None:
    sent = head(
        "/shop/look/",
        (b"connection", b"close, x-hop"),
        (b"x-hop", b"1"),
        (b"x-expect-instance", b"forged"),
        (b"x-tenant", b"forged"),
        (b"x-own", b"kept"),
    )
    call = WIRE.read(config(), Random(1), sent, b"", RequestId("a1")).call
    names = {name for name, _ in call.headers}
    assert b"x-own" in names
    assert not names & {b"x-hop", b"x-key", b"connection", b"x-expect-instance"}
    assert [value for name, value in call.headers if name == b"x-tenant"] == [b"school"]


# --- servers' answers ---


@pytest.mark.parametrize(
    ("status", "headers", "kind"),
    [
        (200, {b"x-attempt-id": b"a1", b"x-server-signature": b"s"}, Passable),
        (200, {b"x-attempt-id": b"a1"}, Spoiled),
        (200, {b"x-attempt-id": b"a2", b"x-server-signature": b"s"}, Spoiled),
        (200, {b"x-server-signature": b"s"}, Spoiled),
        (500, {b"x-attempt-id": b"a1"}, Passable),
        (503, {b"x-attempt-id": b"a1"}, Spoiled),
        (429, {b"x-attempt-id": b"a1"}, Spoiled),
        (408, {b"x-attempt-id": b"a1"}, Spoiled),
        (503, {b"x-attempt-id": b"a1", b"x-not-executed": b"1"}, NotRun),
        (503, {b"x-attempt-id": b"a2", b"x-not-executed": b"1"}, Spoiled),
        (421, {}, NotRun),
    ],
)
def test_an_answers_head_decides_what_may_become_of_it(
    status: int, headers: dict[bytes, bytes], kind: type[object]
) -> None:
    assert isinstance(WIRE.judge(CALL, status, headers), kind)


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
def test_a_status_that_says_not_run_is_told_of_nothing_else(
    outcome: Outcome, reason: Reason, status: int
) -> None:
    problem = WIRE.problem(Account("a1", outcome, reason, "", retry_after_s=0.7))
    told = dict(problem.headers)
    assert problem.status == status
    assert (b"retry-after" in told) == (status == 503)


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


def test_comments_in_the_settings_file_are_no_settings() -> None:
    cfg = parse_entry_settings("// of a machine\n" + settings(), "file").unwrap()
    assert cfg.name == "entry-1"
    assert cfg.peer_seeds == ()


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"caller_address": "10.0.0.1"}, "caller_address"),
        ({"caller_address": "host:80"}, "caller_address"),
        ({"peer_address": "10.0.0.1:99999"}, "peer_address"),
        ({"store": {"address": "nowhere"}}, "store.address"),
        ({"store": {}}, "address"),
        ({"name": ""}, "name"),
        ({"metrics_port": 70_000}, "metrics_port"),
        ({"bounds": {"grace_s": "long"}}, "grace_s"),
    ],
)
def test_a_wrong_setting_is_named(change: dict[str, Any], named: str) -> None:
    error = parse_entry_settings(settings(**change), "file").failure()
    assert named in str(error)
    assert "file" in str(error)


# --- what the deployment installs ---


def test_the_deployment_installs_the_versions_that_are_tested() -> None:
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
