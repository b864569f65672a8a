"""Malformed data at the borders of the process: what it may cost, and what it must not."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
from collections.abc import Iterator
from itertools import chain, repeat
from pathlib import Path
from random import Random
from typing import Any, Final, cast

import msgspec
import pytest

from tests.foreign_bytes import HUGE_NUMBER, NESTING, all_forms, mutations, named_forms
from tests.platform.platform_world import (
    HOST,
    KEY,
    Instance,
    PlatformWorld,
    call,
    document,
    until,
)
from tests.platform.standin_store import SERVERS
from turmericweir.answers.caller_refusal import RefusedError
from turmericweir.answers.forward_events import EventSplitter
from turmericweir.answers.forward_wire import ForwardCall, RequestHead
from turmericweir.answers.sse import parse_event
from turmericweir.peers import peer_codec
from turmericweir.peers.frame_splitter import FrameSplitter
from turmericweir.process.entry_settings import parse_entry_settings
from turmericweir.process.errors import CallError
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.messages.settings_messages import DocumentAsk
from turmericweir_core.records import lease_record, usage_note
from turmericweir_platform.lease_log import _decode_value
from turmericweir_platform.server_entries import decode_entry, decode_incarnation
from turmericweir_platform.settings_document import DocumentDecoder, decode_document, read_version
from turmericweir_platform.store_client import StoreClient
from turmericweir_platform.store_records import split_records
from turmericweir_platform.wire import PlatformWire

ENTRY: Final[dict[str, Any]] = {
    "service": "shop",
    "address": "127.0.0.1:9",
    "zone": "dc-1",
    "version": "v1",
    "max-concurrency": 6,
    "state": "ready",
    "warmup-left-ms": 0,
    "seq": 1,
    "born": 1,
}
SETTINGS: Final[dict[str, Any]] = {
    "name": "entry-1",
    "data_centre": "dc-1",
    "region": "home",
    "caller_address": "127.0.0.1:1",
    "readiness_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "store": {"address": "127.0.0.1:4"},
    "bounds": {"drain_ms": 2000},
}
LEASE: Final[dict[str, Any]] = {
    "act": "grant",
    "service": "s",
    "data_centre": "dc",
    "by": ["entry-1", "1"],
    "n": 1,
    "upto": 1,
    "fence": 1,
    "lease_s": 3.0,
    "note": {"newest": 3, "counts": {"3": {"school": 2}}},
}
PAGE: Final[dict[str, Any]] = {
    "entries": [{"key": "k", "value": "eA==", "offset": 1}],
    "end": 2,
    "has-more": False,
}
ADDRESSES: Final = (
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "a..b:80",
    "127.0.0.1\0:80",
    f"{'x' * 300}:80",
    "[::1:80",
    "127.0.0.1:²",
)


# --- decoders: malformed data is an error of one kind, or changes nothing ------------------------


def test_entry_is_decoded_or_refused() -> None:
    """Guards against an entry that ends the task which follows the servers."""
    for _, raw in all_forms(ENTRY):
        with contextlib.suppress(ValueError):
            entry = decode_entry("i-1", raw)
            # Every field fits into a message between instances and into a header.
            msgspec.msgpack.encode(entry)
            entry.name.encode("ascii")


def test_report_names_an_incarnation_or_none() -> None:
    """Guards against a report that ends the request whose answer it should show to be whole."""
    for _, raw in all_forms({"born": 17, "runs": [["9c41d07be2a35f68", 1460, 3, 1]]}):
        assert isinstance(decode_incarnation(raw), str)


@pytest.mark.parametrize("address", ADDRESSES)
def test_entry_with_an_address_that_is_none_is_refused(address: str) -> None:
    """Guards against calls placed at an address to which nothing can connect."""
    with pytest.raises(ValueError, match="address"):
        decode_entry("i-1", json.dumps({**ENTRY, "address": address}).encode())


@pytest.mark.parametrize("key", ["i-\ufffd", "", " ", "i-1 ", " i-1", "i\r\n1", "i\x7f"])
def test_entry_under_a_key_that_fits_into_no_header_is_refused(key: str) -> None:
    """Guards against calls that fail because the name of their server cannot be sent."""
    with pytest.raises(ValueError, match="key"):
        decode_entry(key, json.dumps(ENTRY).encode())


@pytest.mark.parametrize("name", ["service", "zone", "version"])
@pytest.mark.parametrize("text", ["a\u202eb", "a\x9b2J", "a\nb"])
def test_entry_that_would_spoil_a_terminal_is_refused(name: str, text: str) -> None:
    """Guards against an entry of another writer that changes what an operator is shown."""
    with pytest.raises(ValueError, match=name):
        decode_entry("i-1", json.dumps({**ENTRY, name: text}).encode())


def test_document_is_decoded_or_refused() -> None:
    """Guards against a document that ends the task which follows the settings."""
    for _, raw in all_forms(document(1), 2):
        with contextlib.suppress(ValueError):
            DocumentDecoder().decode(raw)
        read_version(raw)


def test_settings_file_is_read_or_refused() -> None:
    """Guards against a settings file that ends the process at a reload."""
    for _, raw in all_forms(SETTINGS, 3):
        parse_entry_settings(raw.decode(errors="replace"), "settings.json")


async def _read_page(raw: bytes) -> None:
    # Later pages are well-formed.
    answers = chain([raw], repeat(b'{"entries": [], "end": 2}'))

    async def answer(_target: str, _stall_s: float) -> Answer:
        return Answer(200, {}, next(answers))

    client = StoreClient(cast(BackendPool, None), "127.0.0.1:1")
    with pytest.MonkeyPatch.context() as patch, contextlib.suppress(CallError):
        patch.setattr(client, "_call", answer)
        await client.read_newest("topic")


async def test_page_of_the_store_is_read_or_a_failed_call() -> None:
    """Guards against an answer of the store that ends the task which reads it."""
    for _, raw in all_forms(PAGE, 4):
        await _read_page(raw)


def test_records_of_the_store_are_split_without_an_error() -> None:
    record = b"\x00\x00\x00\x06\x01k{abc}"[:10]
    for body in mutations(bytes(16) + record * 3, 5):
        list(split_records(body, 0))


def test_own_record_in_the_store_is_decoded_or_skipped() -> None:
    """Guards against a record of another release that stops the duties of every instance."""
    for _, raw in all_forms(LEASE, 6):
        record = lease_record.decode(_decode_value(raw))
        if record is not None:
            note = usage_note.decode_usage_note(record.note)
            msgspec.json.encode((lease_record.encode(record), usage_note.encode_usage_note(note)))
            msgspec.msgpack.encode((record.number, record.upto, record.fence, note.newest))


def _frames() -> Iterator[bytes]:
    frame = peer_codec.encode(InstanceName("entry-2"), DocumentAsk(1, 2, can_unpack=True))
    yield from mutations(frame, 7)
    yield b"\x93" + b"\x91" * NESTING
    for value in (
        b"\x91" * NESTING,
        b"\x81\xa1x" * NESTING,
        b"\xcf" + b"\xff" * 8,
        b"\xa2\xff\xfe",
    ):
        yield b"\x93\xa1a\xabDocumentAsk" + value


def test_datagram_is_decoded_or_refused() -> None:
    """Guards against a datagram that stops the receipt of all others."""
    for data in _frames():
        peer_codec.decode(data, "127.0.0.1:1")
        peer_codec.load_update_sender(data)


def test_frame_of_a_stream_is_decoded_or_refused() -> None:
    for data in _frames():
        splitter = FrameSplitter()
        splitter.feed(data)
        with contextlib.suppress(ValueError):
            for frame in splitter.split():
                peer_codec.read_frame(frame, "127.0.0.1:1")


HEADER_VALUES: Final = (
    HUGE_NUMBER.encode(),
    b"9" * 16,
    b"-1",
    b"1e400",
    b"nan",
    b"\xb2",
    b"",
    b"\xff\xfe",
    b"x" * 5_000,
    b",".join([b"a:1"] * 2_000),
    b"a:" + HUGE_NUMBER.encode(),
)
CALLER_HEADERS: Final = (
    b"x-deadline-ms",
    b"x-token-count",
    b"x-prefix-hash",
    b"x-length-hint",
    b"x-model",
    b"x-key",
    b"last-event-id",
    b"resumes",
    b"host",
)


@pytest.mark.parametrize("value", HEADER_VALUES)
@pytest.mark.parametrize("name", CALLER_HEADERS)
def test_header_of_a_caller_is_read_or_refused(name: bytes, value: bytes) -> None:
    """Guards against a reset connection where a header is malformed."""
    headers = {
        b"host": HOST.encode(),
        b"x-attempt-id": b"a1",
        b"x-key": KEY.encode(),
        b"x-token-count": b"10,20",
        name: value,
    }
    head = RequestHead(b"POST", b"/lm/chat/", list(headers.items()), 0.0)
    _, cfg = decode_document(json.dumps(document(1)).encode())
    with contextlib.suppress(RefusedError):
        parsed = PlatformWire().parse_request(cfg, Random(1), head, b"", RequestId("a1"))
        msgspec.msgpack.encode(parsed.request.prompt_tokens)


SERVER_HEADERS: Final = (
    b"x-attempt-id",
    b"x-server-signature",
    b"x-not-executed",
    b"x-rate-limit",
    b"retry-after",
    b"content-encoding",
)


@pytest.mark.parametrize("value", HEADER_VALUES)
@pytest.mark.parametrize("status", [200, 421, 429, 503])
def test_headers_of_a_server_are_judged(status: int, value: bytes) -> None:
    """Guards against an answer whose headers end the attempt without an outcome."""
    wire = PlatformWire()
    call_ = ForwardCall(b"GET", b"/x", (), b"", b"a1", False, False, b"")
    for name in SERVER_HEADERS:
        headers = {b"x-attempt-id": b"a1", b"x-server-signature": b"s", name: value}
        wire.judge_answer(call_, status, headers)
        wire.read_notice(call_, status, headers)


def test_events_of_a_server_are_split_without_an_error() -> None:
    """Guards against the id of an event that ends the stream of a caller."""
    for event_id in (HUGE_NUMBER.encode(), b"\xb2", b"\xff", b""):
        stream = b"id: " + event_id + b"\ndata: x\n\n"
        for body in (stream, *mutations(stream, 8)):
            EventSplitter(b"3").split_chunk(body)
            EventSplitter(event_id).split_chunk(body)
    for raw in named_forms({"choices": []}).values():
        parse_event(b"data: " + raw)


# --- processes ----------------------------------------------------------------------------------


def _serves_all(world: PlatformWorld, count: int = 10) -> bool:
    """Return whether every instance serves calls of all kinds."""
    return all(
        send(instance=name).status == 200
        for name in world.running
        for send in (world.send_safe, world.send_unsafe, world.send)
        for _ in range(count)
    )


def _unreadable_count(instance: Instance) -> int:
    lines = instance.logged("entry_unreadable")
    return int(lines[-1]["count"]) if lines else 0


def _odd_entries() -> dict[str, bytes]:
    forms = dict(named_forms(ENTRY))
    forms |= {f"address {n}": _entry(address=each) for n, each in enumerate(ADDRESSES)}
    forms["slots beyond 64 bits"] = _entry(**{"max-concurrency": 10**25})
    forms["long zone"] = _entry(zone="z" * 70_000)
    return forms


def _entry(**changes: Any) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


def test_odd_entries_leave_all_processes_serving(tmp_path: Path) -> None:
    """Guards against one foreign entry that ends every process, and again at each start."""
    with PlatformWorld(tmp_path, instances=2) as world:
        pids = {name: each.process.pid for name, each in world.running.items()}
        for name, raw in _odd_entries().items():
            world.store.write(SERVERS, f"odd {name}", raw)
        # One instance reads for both.
        until(
            lambda: any(_unreadable_count(each) > 0 for each in world.running.values()),
            "the entries were read",
        )
        assert _serves_all(world)
        assert {name: each.process.pid for name, each in world.running.items()} == pids
        assert all(each.process.is_running for each in world.running.values())
        assert not any(each.logged("fault") for each in world.running.values())
        # A start reads all of them in its first snapshot.
        world.restart_instance("entry-2")
        restarted = world.running["entry-2"]
        until(restarted.is_ready, "the restarted instance is ready")
        assert _serves_all(world)
        assert not restarted.logged("fault")


def test_unreadable_entry_replaces_the_readable_one_of_its_key_only(tmp_path: Path) -> None:
    """Guards against calls to a server whose newest entry names none."""
    with PlatformWorld(tmp_path, plain_servers=2) as world:
        instance = world.running["entry-1"]
        world.store.write(SERVERS, "shop-1", named_forms(ENTRY)["nested and cut"])
        until(
            lambda: "shop-1" in {line["peer"] for line in instance.logged("server_removed")},
            "the entry no longer holds",
        )
        before = len(world.servers["shop-1"].received)
        assert _serves_all(world)
        assert len(world.servers["shop-1"].received) == before
        # The server writes its entry again.
        world.register("shop-1", seq=2)
        until(
            lambda: world.send_safe().status == 200
            and len(world.servers["shop-1"].received) > before,
            "the server is used again",
        )


def test_unreadable_entries_are_logged_at_a_bounded_rate(tmp_path: Path) -> None:
    """Guards against a foreign writer that fills the log."""
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        for number in range(500):
            world.store.write(SERVERS, f"odd-{number % 7}", b"\0")
        until(lambda: _unreadable_count(instance) > 0, "the entries were read")
        world.store.write(SERVERS, "shop-3", b"\0")
        assert len(instance.logged("entry_unreadable")) < 10


# Served, or refused for a reason that the caller can see.
ANSWERS: Final = tuple(
    b"HTTP/1.1 %d" % status for status in (200, 400, 401, 404, 408, 413, 431, 504)
)


def test_odd_requests_of_callers_are_answered(tmp_path: Path) -> None:
    """Guards against a reset connection, or a lost process, where a request is malformed."""
    with PlatformWorld(tmp_path) as world:
        instance = world.running["entry-1"]
        host, _, port = instance.caller_address.rpartition(":")
        for name in (*CALLER_HEADERS, b"content-length"):
            for value in HEADER_VALUES:
                lines = {b"host": HOST.encode(), b"x-key": KEY.encode(), b"x-attempt-id": b"a1"}
                lines[name] = value
                head = b"".join(each + b": " + text + b"\r\n" for each, text in lines.items())
                with socket.create_connection((host, int(port)), timeout=20) as conn:
                    conn.sendall(b"GET /shop/look/ HTTP/1.1\r\nconnection: close\r\n" + head)
                    conn.sendall(b"\r\n")
                    answer = conn.recv(12)
                assert answer in ANSWERS, (name, value)
        assert not instance.logged("fault")
        assert world.send_safe().status == 200


def test_odd_queries_of_operators_are_answered(tmp_path: Path) -> None:
    with PlatformWorld(tmp_path) as world:
        text = (world.directory / "entry-1.json").read_text()
        admin_address = json.loads(text.split("\n", 1)[1])["admin_address"]
        for value in ("inf", "nan", "-1", "1e400", HUGE_NUMBER, "%00", "%C2%B2"):
            status = call(admin_address, "GET", f"/settings/in-force?offset={value}").status
            assert status in (400, 404), value
        assert world.send_safe().status == 200


def test_signal_during_the_start_ends_no_process(tmp_path: Path) -> None:
    """Guards against a process that SIGHUP ends before it handles signals."""
    with PlatformWorld(tmp_path) as world:
        path = tmp_path / "entry-1.json"
        text = path.read_text()
        instance = world.running["entry-1"]
        instance.process.stop()
        path.unlink()
        # Holds the process at the beginning of its start.
        os.mkfifo(path)
        world.restart_instance("entry-1")
        fifo: list[int] = []

        def is_read() -> bool:
            with contextlib.suppress(OSError):
                fifo.append(os.open(path, os.O_WRONLY | os.O_NONBLOCK))
            return bool(fifo)

        until(is_read, "the process reads its settings")
        os.kill(instance.process.pid, signal.SIGHUP)
        replacement = tmp_path / "replacement.json"
        replacement.write_text(text)
        replacement.rename(path)
        os.write(fifo[0], text.encode())
        os.close(fifo[0])

        def is_ready_after_a_signal() -> bool:
            os.kill(instance.process.pid, signal.SIGHUP)
            return instance.is_ready()

        until(is_ready_after_a_signal, "the instance is ready")
        # The file was replaced while the process started.
        until(lambda: bool(instance.logged("reloaded")), "the settings were read again")
