"""Tests of answers without an end: in every part of an answer, on every kind of route."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.platform.platform_world import Answer, PlatformWorld, until
from tests.platform.standin_endless import Endless, EndlessAnswer
from tests.platform.standin_server import LARGE_BODY_BYTES

# What the kernel's buffers of both ends and one read may hold beyond a bound.
_BUFFERED_BYTES = 4_000_000
_PART_BYTES = 262_144
_UNSIZED_BYTES = 4_194_304
_STREAMS = ("/lm/doc/", "/lm/chat/")
_PLAIN = ("/shop/buy/", "/shop/look/")
_ONLY_STREAMS = (Endless.EVENT, Endless.COMMENT, Endless.CHUNK_EXTENSIONS)
# Passed on as they arrive, within the bound of bodies that announce no length.
_UNSIZED = (Endless.CHUNK, Endless.UNFRAMED_BODY)


@pytest.fixture(scope="module")
def world(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformWorld]:
    """Yield a world with one instance and servers that tests make misbehave."""
    with PlatformWorld(tmp_path_factory.mktemp("endless")) as world:
        yield world


@pytest.fixture(autouse=True)
def _answers_end_again(world: PlatformWorld) -> Iterator[None]:
    yield
    world.set_mode("")
    for server in world.servers.values():
        server.endless = None


def _make_endless(world: PlatformWorld, part: Endless, *names: str) -> EndlessAnswer:
    answer = EndlessAnswer(part, is_streaming=names[0].startswith("lm"))
    for name in names:
        world.servers[name].endless = answer
    return answer


def _cases() -> list[tuple[str, Endless]]:
    streams = [(path, part) for path in _STREAMS for part in Endless]
    plain = [(path, part) for path in _PLAIN for part in Endless if part not in _ONLY_STREAMS]
    return streams + plain


def _is_success(answer: Answer) -> bool:
    return answer.status == 200 and not answer.is_cut


def _ends_of(world: PlatformWorld, event: str, request_id: str) -> list[dict[str, object]]:
    lines = world.running["entry-1"].logged(event)
    return [line for line in lines if line["request_id"] == request_id]


@pytest.mark.parametrize(("path", "part"), _cases())
def test_answer_without_an_end_is_closed_at_its_bound(
    world: PlatformWorld, path: str, part: Endless
) -> None:
    # Guards against reading what is no answer until the time limit of its request.
    names = ("lm-1", "lm-2") if path in _STREAMS else ("shop-1", "shop-2")
    endless = _make_endless(world, part, *names)
    request_id = world.new_id()
    answer = world.send(
        path,
        request_id=request_id,
        method="GET" if path == "/shop/look/" else "POST",
        body=b"" if path == "/shop/look/" else request_id.encode(),
    )
    assert not _is_success(answer)
    runs = len(world.runs(request_id))
    assert runs
    until(lambda: endless.closed >= runs, "the server sees the close")
    bound = _UNSIZED_BYTES if path in _PLAIN and part in _UNSIZED else _PART_BYTES
    assert endless.written / runs < bound + _BUFFERED_BYTES
    until(lambda: bool(_ends_of(world, "finished", request_id)), "the request is accounted for")
    (account,) = _ends_of(world, "finished", request_id)
    if part is Endless.REFUSAL_BODY:
        assert (answer.status, account["outcome"]) == (503, "not_run")
    else:
        assert answer.is_cut or answer.status == 502
        assert account["outcome"] in ("failed", "unknown")
        ends = _ends_of(world, "attempt_ended", request_id)
        assert {end["end"] for end in ends} == {"EndBroken"}


@pytest.mark.parametrize("part", [Endless.EVENT, Endless.ERROR_BODY, Endless.INTERIM_HEADS])
def test_stream_goes_on_elsewhere_after_an_answer_without_an_end(
    world: PlatformWorld, part: Endless
) -> None:
    # Guards against a caller that waits for its time limit beside a sound server.
    _make_endless(world, part, "lm-1")
    for _ in range(4):
        answer = world.send("/lm/chat/")
        assert answer.event_data == [f"piece {number}" for number in range(6)]


def test_oversized_answer_is_named_as_such(world: PlatformWorld) -> None:
    # Guards against an operator who cannot tell a server without an end from a broken connection.
    _make_endless(world, Endless.EVENT, "lm-1", "lm-2")
    request_id = world.new_id()
    world.send("/lm/doc/", request_id=request_id)
    until(lambda: bool(_ends_of(world, "attempt_ended", request_id)), "the attempt has ended")
    (end,) = _ends_of(world, "attempt_ended", request_id)
    assert end["answer_end"] == "oversized"
    (failure,) = _ends_of(world, "attempt_failed", request_id)
    assert "an event exceeds" in str(failure["error"])


def test_long_stream_of_small_events_is_whole(world: PlatformWorld) -> None:
    # Guards against a bound that counts the whole of a stream.
    engines = [world.servers["lm-1"], world.servers["lm-2"]]
    for engine in engines:
        engine.event_count = 3_000
        engine.version = "x" * 3_000
    try:
        answer = world.send("/lm/doc/")
    finally:
        for engine in engines:
            engine.event_count = 6
            engine.version = ""
    assert (answer.is_cut, len(answer.event_data)) == (False, 3_000)
    assert len(answer.body) > 2 * _UNSIZED_BYTES


def test_body_of_announced_length_is_whole_and_nothing_beyond_it_is_read(
    world: PlatformWorld,
) -> None:
    # Guards against cutting a large download, and against bytes after it in the next answer.
    world.set_mode("large")
    for _ in range(2):
        answer = world.send_unsafe()
        assert (answer.status, len(answer.body), answer.is_cut) == (200, LARGE_BODY_BYTES, False)
        assert set(answer.body[-7:]) == {ord("x")}
