"""Tests of the settings API over HTTP, as used by programs other than the command line."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, Final

import httpcore
import pytest

from tests.ctl.fake_daemon import TOKEN, FakeDaemon, fake_daemon

PATH: Final = "/settings/limits/default"
AUTH: Final = {"authorization": f"Bearer {TOKEN}"}


@pytest.fixture(scope="module")
def daemon() -> Iterator[FakeDaemon]:
    """Yield a daemon on which `/limits/default` is set, at version 1."""
    with fake_daemon() as daemon:
        status, _ = call(daemon, "PUT", PATH, {"value": {"requests_s": 1}}, AUTH)
        assert status == 200
        yield daemon


def call(
    daemon: FakeDaemon, method: str, target: str, body: object, headers: dict[str, str]
) -> tuple[int, Any]:
    """Send a request; return the status and the decoded answer."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    url = f"http://{daemon.address}{target}"
    with httpcore.ConnectionPool() as pool:
        response = pool.request(method, url, headers=list(headers.items()), content=content)
    return response.status, json.loads(response.content)


RefusalCase = tuple[str, str, str, object, dict[str, str], int, str]
REFUSAL_CASES: Final[list[RefusalCase]] = [
    ("no token", "GET", "/settings", None, {}, 401, "bearer token"),
    ("other scheme", "GET", "/settings", None, {"authorization": "Basic eA=="}, 401, "bearer"),
    ("method", "POST", PATH, {}, AUTH, 405, "POST is not possible"),
    ("not JSON", "PUT", PATH, b"{", AUTH, 400, "expected JSON"),
    ("not an object", "PUT", PATH, [1], AUTH, 400, "the body"),
    ("unknown field", "PUT", PATH, {"valeu": {}}, AUTH, 400, "valeu"),
    ("bad id", "PUT", PATH, {"value": {}, "change_id": "a b"}, AUTH, 400, "change_id"),
    ("negative", "PUT", PATH, {"value": {}, "expected_version": -1}, AUTH, 400, "expected_version"),
    ("no value", "PUT", PATH, {}, AUTH, 422, "expected an object"),
    ("bad If-Match", "PUT", PATH, {"value": {}}, {**AUTH, "if-match": "*"}, 400, "If-Match"),
    ("huge", "PUT", PATH, b" " * 1_100_000, AUTH, 413, "bytes"),
    ("unset", "GET", "/settings/limits/team:x", None, AUTH, 404, "nothing is set"),
    ("unknown path", "GET", "/settings/colours", None, AUTH, 422, "one of the forms"),
    ("unknown change", "GET", "/settings/changes/none", None, AUTH, 404, "no change"),
    ("bad offset", "GET", "/settings/inforce?offset=x", None, AUTH, 400, "offset"),
    ("bad wait", "PUT", PATH + "?wait_s=99", {"value": {}}, AUTH, 400, "wait_s"),
    ("drain unknown", "POST", "/drain/none", None, AUTH, 404, "no server"),
    ("drain unauthorised", "POST", "/drain/none", None, {}, 401, "bearer token"),
    ("drain method", "GET", "/drain/none", None, AUTH, 405, "POST"),
]


@pytest.mark.parametrize(
    ("method", "target", "body", "headers", "status", "detail"),
    [pytest.param(*each[1:], id=each[0]) for each in REFUSAL_CASES],
)
def test_refused(
    daemon: FakeDaemon,
    method: str,
    target: str,
    body: object,
    headers: dict[str, str],
    status: int,
    detail: str,
) -> None:
    actual_status, answer = call(daemon, method, target, body, headers)
    assert (actual_status, answer["status"]) == (status, status)
    assert detail in answer["detail"]
    # A refused request must not change the value.
    _, current = call(daemon, "GET", PATH, None, AUTH)
    assert (current["version"], current["value"]) == (1, {"requests_s": 1.0})


def test_if_match_names_the_expected_version() -> None:
    with fake_daemon() as daemon:
        value = {"value": {"requests_s": 1}}
        status, answer = call(daemon, "PUT", PATH, value, {**AUTH, "if-match": '"0"'})
        assert (status, answer["verdict"], answer["version"]) == (200, "accepted", 1)
        status, answer = call(daemon, "PUT", PATH, value, {**AUTH, "if-match": '"0"'})
        assert (status, answer["verdict"]) == (409, "conflict")
        assert answer["value"] == {"requests_s": 1.0}
        assert answer["won_by"] == "bootstrap/root"
        status, answer = call(daemon, "DELETE", PATH, b"", {**AUTH, "if-match": '"1"'})
        assert (status, answer["version"]) == (200, 0)
        status, answer = call(daemon, "GET", PATH, None, AUTH)
        assert status == 404


def test_state_dump_holds_no_token_digest() -> None:
    """Guards against digests in the dump, from which short tokens could be guessed."""
    digest = "ab" * 32
    with fake_daemon() as daemon:
        operator = {"value": {"token_sha256": digest, "paths": ["/"]}}
        call(daemon, "PUT", "/settings/operators/ann", operator, AUTH)
        customer = {"value": {"token_sha256": [digest]}}
        call(daemon, "PUT", "/settings/customers/shop", customer, AUTH)
        status, state = call(daemon, "GET", "/state", None, AUTH)
    assert status == 200
    assert "shop" in state["config"]["customers"]
    assert digest not in json.dumps(state)


def test_state_dump_is_for_operators() -> None:
    """Guards against showing customers and their requests to callers without a token."""
    with fake_daemon() as daemon:
        status, problem = call(daemon, "GET", "/state", None, {})
        health_status, _ = call(daemon, "GET", "/healthz", None, {})
    assert status == 401
    assert problem["detail"] == "expected the bearer token of an operator"
    assert health_status == 200
