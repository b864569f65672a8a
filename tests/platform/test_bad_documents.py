"""Settings documents that an operator should not have written, and large ones."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.platform.platform_world import HOST, Instance, PlatformWorld, document, until
from tests.platform.standin_store import OPERATOR
from turmericweir_core.store.document_packing import DOCUMENT_MAX_BYTES
from turmericweir_platform.settings_document import DocumentDecoder, decode_document, read_version

Change = Callable[[dict[str, Any]], None]


def _repeat(part: str, **changes: Any) -> Change:
    def change(body: dict[str, Any]) -> None:
        body[part].append({**body[part][0], **changes})

    return change


def _set_service(name: str | None) -> Change:
    def change(body: dict[str, Any]) -> None:
        body["routes"][0]["service"] = name

    return change


def _share_with(name: str) -> Change:
    def change(body: dict[str, Any]) -> None:
        body["routes"][0]["backends"] = [{"service": "lm"}, {"service": name}]

    return change


CONTRADICTIONS: dict[str, tuple[Change, str]] = {
    "same route": (_repeat("routes"), "two routes are identical"),
    "same route name": (_repeat("routes", **{"path-prefix": "/x/"}), "two routes .*: doc"),
    "same service name": (_repeat("services"), "two services .*: lm"),
    "same customer name": (_repeat("tenants", **{"api-keys": []}), "two customers .*: school"),
    "same key": (_repeat("tenants", name="other"), "school and other have the same key"),
    "route to no service": (_set_service(None), "no service at all: doc"),
    "route to a missing service": (_set_service("gone"), "no service gone: doc"),
    "share of a missing service": (_share_with("gone"), "no service gone: doc"),
}


def raw_document(change: Change = lambda _body: None, version: int = 2) -> bytes:
    body = document(version)
    change(body)
    return json.dumps(body).encode()


def nested_document(depth: int, version: int = 2) -> bytes:
    start = b'{"novel":' + b"[" * depth + b"]" * depth + b","
    return start + raw_document(version=version)[1:]


def grow(count: int) -> Change:
    """Return the change that adds routes."""

    def change(body: dict[str, Any]) -> None:
        body["routes"] += [
            {**body["routes"][3], "name": f"more-{n}", "path-prefix": f"/more-{n}/"}
            for n in range(count)
        ]

    return change


@pytest.mark.parametrize(("change", "error"), CONTRADICTIONS.values(), ids=CONTRADICTIONS)
def test_contradiction_is_refused_and_named(change: Change, error: str) -> None:
    """Guards against settings in force that nobody wrote, by the last of two same names."""
    with pytest.raises(ValueError, match=error):
        decode_document(raw_document(change))


def test_error_shows_no_key() -> None:
    with pytest.raises(ValueError, match="same key") as refused:
        decode_document(raw_document(CONTRADICTIONS["same key"][0]))
    assert "key-1" not in str(refused.value)


def test_deeply_nested_document_is_refused() -> None:
    """Guards against a process that ends because its stack is full."""
    with pytest.raises(ValueError, match="nested too deeply"):
        decode_document(nested_document(10_000))
    assert read_version(nested_document(10_000)) is None


def test_document_that_is_far_too_large_is_refused() -> None:
    """Guards against a document that fills the memory."""
    with pytest.raises(ValueError, match="larger than"):
        decode_document(raw_document() + b" " * DOCUMENT_MAX_BYTES)


@pytest.mark.parametrize("version", [-1, 2**63, 10**30])
def test_version_that_fits_into_no_message_is_refused(version: int) -> None:
    """Guards against heartbeats that cannot be encoded."""
    with pytest.raises(ValueError, match="version"):
        decode_document(raw_document(version=version))


def test_refused_document_leaves_the_decoder_as_it_was() -> None:
    """Guards against parts of a refused document in the next version."""
    decoder = DocumentDecoder()
    decoder.decode(raw_document())
    with pytest.raises(ValueError, match="no service"):
        decoder.decode(raw_document(_set_service("gone"), 3))
    expected = decode_document(raw_document(version=4))[1]
    assert decoder.decode(raw_document(version=4))[1] == expected


def test_unchanged_routes_are_not_made_again() -> None:
    """Guards against a cost of each version by all routes instead of the changed ones."""
    decoder = DocumentDecoder()
    before = decoder.decode(raw_document(grow(300)))[1].routes.by_host_and_prefix

    def change_one(body: dict[str, Any]) -> None:
        grow(300)(body)
        body["routes"][7]["timeout-ms"] = 77

    after = decoder.decode(raw_document(change_one, 3))[1].routes.by_host_and_prefix
    made_again = [key for key in after if after[key] is not before[key]]
    assert made_again == [(HOST, "/more-2/")]
    assert after[HOST, "/more-2/"].timeout_s == 0.077


# Each with a part of the logged error.
BAD_DOCUMENTS: dict[str, Callable[[int], bytes]] = {
    "Expected `array`": lambda version: json.dumps({**document(version), "routes": 7}).encode(),
    "nested too deeply": lambda version: nested_document(10_000, version),
    "the document is larger": lambda version: raw_document(version=version)
    + b" " * DOCUMENT_MAX_BYTES,
    "the answer is larger": lambda version: raw_document(version=version)
    + b" " * (3 * DOCUMENT_MAX_BYTES),
    "same name: doc": lambda version: raw_document(CONTRADICTIONS["same route name"][0], version),
    "no service gone": lambda version: raw_document(_set_service("gone"), version),
}


def _is_refused(instances: list[Instance], error: str) -> bool:
    lines = [line for each in instances for line in each.logged("settings_unreadable")]
    return any(error in line["error"] for line in lines)


def test_bad_documents_change_nothing(tmp_path: Path) -> None:
    """Guards against requests lost, settings left or a process ended by a bad document."""
    with PlatformWorld(tmp_path, instances=2) as world:
        instances = list(world.running.values())
        for error, make in BAD_DOCUMENTS.items():
            world.version += 1
            world.store.write(OPERATOR, "config", make(world.version))
            until(lambda error=error: _is_refused(instances, error), error)  # type: ignore[misc]
            assert world.send_safe().status == 200
            assert world.send_safe(instance="entry-2").status == 200
        assert all(len(each.logged("settings_in_force")) == 1 for each in instances)
        assert all(not each.logged("fault") for each in instances)
        # Too large to be read, with the next version right behind it.
        world.store.write(OPERATOR, "config", b" " * (3 * DOCUMENT_MAX_BYTES))
        world.publish(tenants=[{"name": "school", "api-keys": ["key-9"]}])
        for name in world.running:
            until(
                lambda name=name: world.send_safe(instance=name, X_Key="key-9").status  # type: ignore[misc]
                == 200,
                "the next version is in force",
            )


def test_large_document_reaches_an_instance_that_starts_without_the_store(tmp_path: Path) -> None:
    """Guards against an instance that gets no settings because they are large."""
    with PlatformWorld(tmp_path, instances=2) as world:
        body = document(world.version + 1)
        grow(2_000)(body)
        world.publish(routes=body["routes"])
        for name in world.running:
            until(
                lambda name=name: world.send(  # type: ignore[misc]
                    "/more-1999/x", method="GET", body=b"", instance=name
                ).status
                == 200,
                "the large document is in force",
            )
        world.store.mode = "silent"
        world.restart_instance("entry-2")
        until(
            lambda: world.running["entry-2"].readiness_status() != 0
            and bool(world.running["entry-2"].logged("settings_in_force")),
            "the peer sent the settings",
        )
        (line,) = world.running["entry-2"].logged("settings_in_force")
        assert (line["from"], line["routes"]) == ("entry-1", len(body["routes"]))
