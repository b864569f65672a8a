"""Plays of uploads that servers answer at once and break off, and what callers may make of them.

By hand: `python -m tests.platform.early_answers SEED PLAYS [peer]`.
"""

from __future__ import annotations

import http.client
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Final

from tests.platform.answer_ends import PLAIN, STREAMS
from tests.platform.cut_world import RESET, CutWorld
from tests.platform.platform_world import connection_to, document, until
from tests.platform.standin_early import EarlyAnswer, EarlyServer

_BORN: Final = 1_700_000_000_000
_UPLOAD_BYTES: Final = 3_000_000
_CHUNK_BYTES: Final = 50_000
# Of answers that say that the request was not run.
_NOT_RUN: Final = (421, 429, 503)


@dataclass(slots=True)
class EarlyPlay:
    """Sends uploads to servers that answer early, and counts what their callers saw."""

    world: CutWorld
    rng: Random
    servers: list[EarlyServer] = field(default_factory=list)
    seen: Counter[str] = field(default_factory=Counter)
    errors: list[str] = field(default_factory=list)

    def prepare(self, *, is_by_peer: bool) -> None:
        """Put the servers in place, and cut the instance off if requests go by way of a peer."""
        limits = {**document(1)["limits"], "max-body-bytes": 2 * _UPLOAD_BYTES}
        self.world.publish(limits=limits)
        for name, server in self.world.servers.items():
            self.world.crash_server(name)
            early = EarlyServer(name, server.address, _BORN)
            self.world.run_on_loop(early.start())
            self.servers.append(early)
        if is_by_peer:
            until(
                lambda: self.world.reported_state("entry-1")["live_instances"]
                == sorted(self.world.running),
                "the instances know each other",
            )
            self.world.cut("entry-1", RESET)
        for path in (*STREAMS, *PLAIN):
            until(partial(self._is_served, path), f"{path} is served")
        self._await_settings()

    def _is_served(self, path: str) -> bool:
        return self.world.send(path, body=b"one", X_Deadline_Ms="1500").status == 200

    def _await_settings(self) -> None:
        """Wait until uploads of the size are taken, which end in 413 before."""

        def is_taken() -> bool:
            return self._send("/shop/look/", self.world.new_id(), is_chunked=False) == "502"

        until(is_taken, "the limit on bodies is known")

    def play(self) -> None:
        """Send one upload, and check what its caller sees."""
        rng, path = self.rng, self.rng.choice((*STREAMS, *PLAIN))
        form = EarlyAnswer.draw(rng)
        for server in self.servers:
            server.answer = form
        if rng.random() < 0.5:
            # Leaves a connection that has carried a request.
            self.world.send(path, body=b"one")
        request_id = self.world.new_id()
        is_chunked = rng.random() < 0.5
        seen = self._send(path, request_id, is_chunked=is_chunked)
        self.seen[seen] += 1
        has_run = any(request_id in server.broken_ids for server in self.servers)
        what = f"{path} {form} chunked={is_chunked} run={has_run}: {seen}"
        if seen == "complete" or (has_run and seen in map(str, _NOT_RUN)):
            self.errors.append(what)
        instance = self.world.running["entry-1"]
        try:
            until(
                lambda: request_id in [line["request_id"] for line in instance.logged("finished")],
                "the end of the request is logged",
            )
        except TimeoutError:
            lines = [line for line in instance.process.lines if request_id in line]
            self.errors.append(f"no end in the log: {what}; {lines}")

    def _send(self, path: str, request_id: str, *, is_chunked: bool) -> str:
        """Return how an upload ended for its caller."""
        headers = self.world.request_headers(path, request_id)
        body = request_id.encode() + b"x" * _UPLOAD_BYTES
        parts = [body[at : at + _CHUNK_BYTES] for at in range(0, len(body), _CHUNK_BYTES)]
        conn = connection_to(self.world.running["entry-1"].caller_address)
        try:
            conn.request(
                "POST", path, iter(parts) if is_chunked else body, headers, encode_chunked=True
            )
            response = conn.getresponse()
            response.read()
        except (ConnectionError, http.client.HTTPException):
            return "broken off"
        finally:
            conn.close()
        return "complete" if response.status == 200 else str(response.status)


def run(directory: Path, seed: int, plays: int, *, is_by_peer: bool) -> EarlyPlay:
    """Play uploads; return what was seen."""
    instances = 2 if is_by_peer else 1
    bounds = {"revoke_ms": 60_000}
    with CutWorld(
        directory, instances=instances, data_centres=instances, born=_BORN, bounds=bounds
    ) as world:
        play = EarlyPlay(world, Random(seed))
        play.prepare(is_by_peer=is_by_peer)
        for _ in range(plays):
            play.play()
        faults = world.running["entry-1"].logged("fault")
        if faults:
            play.errors.append(f"an instance logged faults: {faults}")
        for server in play.servers:
            world.run_on_loop(server.stop())
    return play


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        done = run(Path(name), int(sys.argv[1]), int(sys.argv[2]), is_by_peer="peer" in sys.argv)
    print(dict(done.seen), "kept:", sum(each.kept_count for each in done.servers))
    print(*done.errors, sep="\n")
