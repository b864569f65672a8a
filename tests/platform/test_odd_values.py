"""Values of other writers that would become parts of requests, and cannot be sent."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Final

import pytest

from tests.platform import odd_values
from tests.platform.platform_world import KEY, Instance, PlatformWorld, document, until
from tests.platform.standin_answers import AnswerForm, Break
from tests.platform.standin_store import SERVERS
from tests.platform.test_duties import DUTIES
from turmericweir.process.entry_settings import parse_entry_settings
from turmericweir_platform.server_entries import decode_entry

# The last event before the break.
ODD_NUMBER: Final = 2
# Each with the id that a resumed stream names: the odd one, or the last one before it.
EVENT_IDS: Final = {
    "nul": (b"2\0", b"1"),
    "vertical tab": (b"2\x0b2", b"1"),
    "form feed": (b"2\x0c2", b"1"),
    "60 kB": (b"2" * 60_000, b"1"),
    "control character": (b"2\x012", b"2\x012"),
    "escape sequence": (b"\x1b[2J", b"\x1b[2J"),
    "umlaut": ("ä".encode(), "ä".encode()),
    "blank": (b"2 2", b"2 2"),
    "delete": (b"2\x7f", b"2\x7f"),
    "plain": (b"2", b"2"),
}
# What must be in no log: no server is at fault.
BLAMES: Final = ("path_lost", "paths_suspected", "server_ejected", "quarantined", "fault")
PIECES: Final = [f"piece {number}" for number in range(6)]
STREAMS: Final = 6
# The key of the customer with an odd name.
ODD_KEY: Final = "key-odd"
# A sound one.
ENTRY: Final = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "dc-1",
    "max-concurrency": 64,
    "state": "ready",
}
# Digits that are no ASCII.
FULL_WIDTH: Final = str.maketrans("0123456789", "０１２３４５６７８９")  # noqa: RUF001


@pytest.fixture(scope="module")
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformWorld]:
    """Yield three engines, two plain servers and two instances."""
    directory = tmp_path_factory.mktemp("odd")
    with PlatformWorld(directory, engines=3, instances=2) as world:
        yield world


@pytest.fixture(autouse=True)
def _sound_again(world: PlatformWorld) -> Iterator[None]:
    """Check that nobody was blamed, and undo what the test has set."""
    seen = {name: (each.process, len(each.process.lines)) for name, each in world.running.items()}
    yield
    for server in world.servers.values():
        server.event_ids = {}
        server.forms = []
        server.mode = ""
    for name, instance in world.running.items():
        process, count = seen[name]
        lines = list(instance.process.lines)[count if instance.process is process else 0 :]
        blames = [line for line in lines if any(f'"{blame}"' in line for blame in BLAMES)]
        assert not blames
        assert not [line for line in lines if "LocalProtocolError" in line]


def _statuses(world: PlatformWorld, instance: str, key: str = KEY) -> list[int]:
    """Return the statuses of a call of each kind."""
    sends = (world.send, world.send_safe, world.send_unsafe)
    return [send(instance=instance, X_Key=key).status for send in sends]


# --- ids of events ---------------------------------------------------------------------------


def _break_next_stream(world: PlatformWorld) -> None:
    """Make the next stream end after its first half, at whichever engine gets it."""
    forms = [AnswerForm(breaks=Break.AFTER_PART)]
    for server in world.servers.values():
        if server.is_streaming:
            server.forms = forms


def _set_event_ids(world: PlatformWorld, event_ids: dict[int, bytes]) -> None:
    for server in world.servers.values():
        server.event_ids = event_ids


@pytest.mark.parametrize(("event_id", "named"), EVENT_IDS.values(), ids=EVENT_IDS)
def test_stream_is_whole_whatever_the_ids_of_its_events(
    world: PlatformWorld, event_id: bytes, named: bytes
) -> None:
    """Guards against a stream that ends, and servers that are suspected, for an id of an event."""
    _set_event_ids(world, {ODD_NUMBER: event_id})
    for number in range(STREAMS):
        _break_next_stream(world)
        request_id = world.new_id()
        instance = f"entry-{1 + number % 2}"
        answer = world.send("/lm/chat/", request_id=request_id, instance=instance)
        assert (answer.status, answer.is_cut, answer.event_data) == (200, False, PIECES)
        _, resumed = sorted(world.runs(request_id), key=lambda run: run.received_at)
        assert resumed.headers["last-event-id"] == named.decode("latin-1")


def test_stream_of_which_no_id_can_be_named_ends_without_another_run(world: PlatformWorld) -> None:
    """Guards against servers that run a stream which nobody can go on with, and are blamed."""
    _set_event_ids(world, {number: b"%d\0" % number for number in range(6)})
    for number in range(STREAMS):
        _break_next_stream(world)
        request_id = world.new_id()
        answer = world.send("/lm/chat/", request_id=request_id, instance=f"entry-{1 + number % 2}")
        assert answer.is_cut
        assert len(world.runs(request_id)) == 1


# --- names of customers ----------------------------------------------------------------------


def _publish_customer(world: PlatformWorld, name: str) -> None:
    customers = [
        {"name": "school", "api-keys": [KEY], "priority": 1},
        {"name": name, "api-keys": [ODD_KEY], "priority": 1},
    ]
    world.publish(tenants=customers)


def _is_customer(world: PlatformWorld, instance: str, name: str) -> bool:
    """Return whether servers are told a customer's name for the odd key."""
    request_id = world.new_id()
    world.send_safe(instance=instance, request_id=request_id, X_Key=ODD_KEY)
    told = [run.headers.get("x-tenant", "") for run in world.runs(request_id)]
    return [each.encode("latin-1") for each in told] == [name.encode()]


def _is_refused(instances: list[Instance], name: str) -> bool:
    """Return whether the instance that reads the settings names a customer in their error."""
    lines = [line for each in instances for line in each.logged("settings_unreadable")]
    return any(f"{name!r} cannot be sent" in line["error"] for line in lines)


@pytest.mark.parametrize("name", ["a\n", "a\r\nX-Key: 1", "a\0", "a ", " a", "\t", "a\vb", "a\f"])
def test_settings_with_a_customer_whose_name_cannot_be_sent_are_refused(
    world: PlatformWorld, name: str
) -> None:
    """Guards against a customer whose requests make all servers suspected."""
    _publish_customer(world, "other")
    for instance in world.running:
        until(partial(_is_customer, world, instance, "other"), "the settings are in force")
    _publish_customer(world, name)
    is_refused = partial(_is_refused, list(world.running.values()), name)
    until(is_refused, "the settings are refused")
    for instance in world.running:
        assert _statuses(world, instance) == [200] * 3
        assert _statuses(world, instance, ODD_KEY) == [200] * 3
        assert _is_customer(world, instance, "other")
    _publish_customer(world, "next")
    for instance in world.running:
        until(partial(_is_customer, world, instance, "next"), "the next version is in force")


def test_only_a_customer_whose_name_cannot_be_sent_is_refused_after_a_restart_of_all(
    world: PlatformWorld,
) -> None:
    """Guards against nobody served, as no version before the refused one is left."""
    _publish_customer(world, "a\n")
    until(partial(_is_refused, list(world.running.values()), "a\n"), "the settings are refused")
    # One gets the version before from the other.
    world.restart_instance("entry-2")
    until(partial(_is_served, world, "entry-2"), "entry-2 serves")
    assert not world.running["entry-2"].logged("settings_taken_with_errors")
    for name in world.running:
        world.stop_instance(name)
    for name in world.running:
        world.start_instance(name)
    for name in world.running:
        until(partial(_is_served, world, name), f"{name} serves")
        for send in (world.send, world.send_safe, world.send_unsafe):
            answer = send(instance=name, X_Key=ODD_KEY)
            assert (answer.status, json.loads(answer.body)["error"]) == (503, "unsendable")
        assert _statuses(world, name) == [200] * 3
    _publish_customer(world, "next")
    for name in world.running:
        until(partial(_is_customer, world, name, "next"), "the next version is in force")


def _is_served(world: PlatformWorld, instance: str) -> bool:
    try:
        return world.send_safe(instance=instance).status == 200
    except OSError:
        return False


@pytest.mark.parametrize("name", ["ä", "", "a b", "a\x01", "x" * 300])
def test_customer_with_an_odd_name_that_can_be_sent_is_served(
    world: PlatformWorld, name: str
) -> None:
    """Guards against a name that is refused though servers can be told of it."""
    _publish_customer(world, name)
    for instance in world.running:
        until(partial(_is_customer, world, instance, name), "the settings are in force")
        assert _statuses(world, instance, ODD_KEY) == [200] * 3


# --- paths of status checks ------------------------------------------------------------------


@pytest.mark.parametrize("path", ["/a b", "/ä", "/a\r\nX-Key: 1", "/a\0", "/a%20b", "/a?b=c"])
def test_answer_without_a_length_is_whole_whatever_the_path_of_status_checks(
    world: PlatformWorld, path: str
) -> None:
    """Guards against whole answers that count as broken off, as no status check can be sent."""
    services = document(1)["services"]
    services[1]["health-path"] = path
    for server in world.servers.values():
        if not server.is_streaming:
            server.health_path = path
    version = world.version + 1
    world.publish(services=services)
    for instance in world.running:
        is_known = partial(_has_version, world, instance, version)
        until(is_known, "the settings are in force")
    names = [name for name, server in world.servers.items() if not server.is_streaming]
    world.set_mode("unframed", *names)
    for instance in world.running:
        answer = world.send_unsafe(instance=instance)
        assert (answer.status, answer.body) == (200, b"whole")


def _has_version(world: PlatformWorld, instance: str, version: int) -> bool:
    return bool(world.reported_state(instance)["settings_version"] >= version)


# --- addresses in entries --------------------------------------------------------------------


def _odd_addresses(address: str) -> dict[str, str]:
    host, _, port = address.rpartition(":")
    return {
        "blank at the end": f"{host}:{port} ",
        "blank before the port": f"{host}: {port}",
        "line end": f"{host}:{port}\n",
        "sign": f"{host}:+{port}",
        "underscore": f"{host}:{port[:1]}_{port[1:]}",
        "digits of another script": f"{host}:{port.translate(FULL_WIDTH)}",
        "scope": f"fe80::1%a b:{port}",
        "scope with a line end": f"fe80::1%a\r\nX-Key: 1:{port}",
    }


@pytest.mark.parametrize("address", _odd_addresses("10.0.0.1:80").values())
def test_odd_address_is_refused_with_its_entry(address: str) -> None:
    """Guards against an address that cannot become a part of a request."""
    with pytest.raises(ValueError, match="address"):
        decode_entry("lm-1", json.dumps({**ENTRY, "address": address}).encode())


def test_entries_with_odd_addresses_name_no_servers(world: PlatformWorld) -> None:
    """Guards against an address that ends requests which it becomes a part of."""
    odd_names = set()
    for kind, address in _odd_addresses(world.servers["lm-1"].address).items():
        odd_names.add(kind)
        world.store.write(SERVERS, kind, {**ENTRY, "address": address, "born": 1})
    # Is read after them.
    world.add_server("lm-4", "lm")
    for instance in world.running.values():
        until(partial(world.has_listed_servers, instance), "the new server is listed")
        listed = {line["peer"] for line in instance.logged("server_listed")}
        assert not odd_names & listed
        for _ in range(STREAMS):
            assert _statuses(world, instance.name) == [200] * 3
    for name in odd_names:
        world.store.write(SERVERS, name, None)


# --- names of instances ----------------------------------------------------------------------


def _settings_of(world: PlatformWorld, **changes: object) -> str:
    return json.dumps({**world.settings_of("entry-1"), **changes})


@pytest.mark.parametrize("name", ["a\n", "a ", "a\0", "a\r\nX-Key: 1"])
def test_name_that_platform_calls_cannot_have_ends_the_start(
    world: PlatformWorld, name: str
) -> None:
    """Guards against a duty holder none of whose calls can be sent."""
    duties = {"address": "10.0.0.1:80"}
    result = parse_entry_settings(_settings_of(world, name=name, duties=duties), "file")
    assert "name: " in str(result.failure())
    # Without duties it is in no request.
    assert parse_entry_settings(_settings_of(world, name=name), "file").unwrap().name == name


def test_duties_are_done_by_an_instance_with_a_name_beyond_ascii(tmp_path: Path) -> None:
    """Guards against a process that ends at its start for its name."""
    with PlatformWorld(tmp_path, instances=0, duties=dict(DUTIES)) as world:
        world.add_instance("entry-ä")
        assert world.send_safe(instance="entry-ä").status == 200
        until(lambda: world.duty_standin.reported_requests() == 1, "the request is reported")
        (holder,) = world.duty_standin.holders()
        assert holder.encode("latin-1").decode() == "entry-ä"


# --- ids of callers --------------------------------------------------------------------------


@pytest.mark.parametrize("path", ["/shop/buy/", "/lm/chat/"])
@pytest.mark.parametrize("request_id", ["ä", "x" * 8_000, "a b", "\x80"])
def test_caller_with_an_odd_id_is_served(world: PlatformWorld, path: str, request_id: str) -> None:
    """Guards against an id that servers get in another form than the caller sent."""
    assert world.send(path, request_id=request_id).status == 200
    assert [run.path for run in world.runs(request_id)].count(path) == 1


# Each with the status that its request gets.
ODD_HEADS: Final = {
    "two hosts": (["Host: front.example", "Host: front.example"], 400),
    "two different hosts": (["Host: other.example", "Host: front.example"], 400),
    "no host": ([], 404),
    "host for one connection": (["Host: front.example", "Connection: host"], 200),
    "id for one connection": (["Host: front.example", "Connection: x-attempt-id"], 200),
    "length for one connection": (["Host: front.example", "Connection: content-length"], 200),
}


@pytest.mark.parametrize("path", ["/shop/buy/", "/lm/chat/"])
@pytest.mark.parametrize(("lines", "status"), ODD_HEADS.values(), ids=ODD_HEADS)
def test_odd_head_of_a_caller_blames_no_server(
    world: PlatformWorld, lines: list[str], status: int, path: str
) -> None:
    """Guards against a caller whose requests no server can be sent and all are suspected for."""
    for instance in world.running.values():
        host, _, port = instance.caller_address.rpartition(":")
        head = [f"POST {path} HTTP/1.1", *lines, f"X-Key: {KEY}", "Content-Length: 0"]
        head += [f"X-Attempt-Id: {world.new_id()}", "", ""]
        with socket.create_connection((host, int(port)), timeout=20) as conn:
            conn.sendall("\r\n".join(head).encode())
            assert conn.recv(4_096).split()[1] == b"%d" % status


# --- at random -------------------------------------------------------------------------------


def test_random_values_in_all_fields_blame_no_server(tmp_path: Path) -> None:
    """Guards against a field that reaches requests and that nobody looks at."""
    assert not odd_values.play(seed=1, rounds=25, directory=tmp_path)
