"""Random values in every field that another writer chooses and that a request might get.

`python -m tests.platform.odd_values --seeds 1-20` plays each seed in a world of its own. Whatever
stands in settings, entries, answers and callers' requests, no server may be blamed and all sound
calls must be served.
"""

from __future__ import annotations

import contextlib
import socket
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any, Final

from tests.platform.platform_world import HOST, KEY, PlatformWorld, document, until
from tests.platform.seed_plays import play_seeds
from tests.platform.standin_answers import AnswerForm, Break
from tests.platform.standin_store import SERVERS

# Parts of log lines that blame a server, or this process.
BLAMES: Final = (
    *("path_lost", "paths_suspected", "server_ejected", "server_dead", "quarantined", "fault"),
    "LocalProtocolError",
)
# What tells why a sound call was not served.
CAUSES: Final = ("attempt_failed", "end_inferred", "finished", "refused")
ODD_KEY: Final = "key-odd"
_PIECES: Final = (
    *" \t\r\n\0\v\f\x1b\x7f\x85\xa0:;,=&+#%?/\\\"'<>",
    *"aZ09äß\u0131\u202e\u2028\ufeff\ufffd\uff10\U0001f600",
    *(
        "host",
        "x-attempt-id",
        "\r\nX-Key: 1",
        "\r\n\r\nGET / HTTP/1.1\r\n",
        "%0d%0a",
        "127.0.0.1:80",
        "1e999",
        "nan",
    ),
)
_LENGTHS: Final = (1, 1, 2, 3, 5, 8, 300, 5_000)
_READ_TIMEOUT_S: Final = 5.0
_ODD_SERVER: Final = "shop-odd"


class OddValues:
    """Draws values and puts them into a world."""

    def __init__(self, world: PlatformWorld, rng: Random) -> None:
        self.world = world
        self.rng = rng
        self.steps: tuple[Callable[[str], None], ...] = (
            self.put_event_id,
            self.put_customer,
            self.put_health_path,
            self.put_names_in_settings,
            self.put_address,
            self.put_entry_text,
            self.put_server_name,
            self.put_answer_header,
            self.send_headers,
            self.send_target,
        )

    def draw_text(self) -> str:
        """Return a text of odd pieces."""
        length = self.rng.choice(_LENGTHS)
        text = "".join(self.rng.choices(_PIECES, k=min(length, 8)))
        return text if length <= 8 else (text * length)[:length]

    # --- settings --------------------------------------------------------------------------------

    def put_customer(self, text: str) -> None:
        """Give a customer an odd name."""
        school = {"name": "school", "api-keys": [KEY], "priority": 1}
        self._publish(tenants=[school, {"name": text, "api-keys": [ODD_KEY]}])
        for name in self.world.running:
            self.world.send_safe(instance=name, X_Key=ODD_KEY)

    def put_health_path(self, text: str) -> None:
        """Give the status checks an odd path, and let answers be whole only by them."""
        path = f"/{text}"
        services = document(1)["services"]
        services[1]["health-path"] = path
        plain = [name for name, each in self.world.servers.items() if not each.is_streaming]
        for name in plain:
            self.world.servers[name].health_path = path
        self._publish(services=services)
        self.world.set_mode("unframed", *plain)

    def put_names_in_settings(self, text: str) -> None:
        """Give a route, its host and its prefix, and a service odd names."""
        body = document(1)
        service = {**body["services"][1], "name": text}
        route = {**body["routes"][3], "name": text, "hostname": text, "service": text}
        route["path-prefix"] = f"/{text}/"
        self._publish(routes=[*body["routes"], route], services=[*body["services"], service])

    def _publish(self, **changes: Any) -> None:
        """Write settings, and wait until they are in force or refused."""
        refused = self._count("settings_unreadable")
        self.world.publish(**changes)
        until(lambda: self._are_settings_read(refused), "the settings are read")

    def _are_settings_read(self, refused: int) -> bool:
        versions = {
            self.world.reported_state(name)["settings_version"] for name in self.world.running
        }
        return versions == {self.world.version} or self._count("settings_unreadable") > refused

    def _count(self, event: str) -> int:
        return sum(len(each.logged(event)) for each in self.world.running.values())

    # --- entries ---------------------------------------------------------------------------------

    def put_address(self, text: str) -> None:
        """Give the entry of a server an address that is odd at some place."""
        host, _, port = self.world.servers["lm-3"].address.rpartition(":")
        address = self.rng.choice(
            (f"{host}:{port}{text}", f"{text}{host}:{port}", f"{host}{text}:{port}", text)
        )
        self.world.register("lm-3", address=address, born=1)

    def put_entry_text(self, text: str) -> None:
        """Give the entry of a server odd texts."""
        field = self.rng.choice(("zone", "version", "service", "state"))
        self.world.register("lm-3", **{field: text})

    def put_server_name(self, text: str) -> None:
        """List a sound server under an odd name."""
        name = text.encode()[:200].decode(errors="ignore")
        self.world.servers[_ODD_SERVER].name = name.encode().decode("latin-1")
        address = self.world.servers[_ODD_SERVER].address
        if name in self.world.servers:
            return
        entry = {"service": "shop", "address": address, "zone": "dc-1", "state": "ready"}
        self.world.store.write(SERVERS, name, {**entry, "max-concurrency": 6})
        self._send_all()
        self.world.store.write(SERVERS, name, None)

    # --- answers ---------------------------------------------------------------------------------

    def put_event_id(self, text: str) -> None:
        """Give an event an odd id, and break the stream off behind it."""
        line = text.replace("\r", "").replace("\n", "").strip()
        if line.isdecimal():
            # The ids of the later events would seem to be those of earlier ones.
            line = f"x{line}"
        for server in self.world.servers.values():
            server.event_ids = {2: line.encode("utf-8")} if line else {}
        forms = [AnswerForm(breaks=Break.AFTER_PART)]
        for server in self.world.servers.values():
            if server.is_streaming:
                server.forms = forms
        answer = self.world.send("/lm/chat/")
        assert (answer.status, answer.is_cut) == (200, False), answer
        assert answer.event_data == [f"piece {number}" for number in range(6)], answer.event_data

    def put_answer_header(self, text: str) -> None:
        """Let servers say odd things of themselves, as far as their answers can have them."""
        names = ("Server-Limit", "Server-Brittle", "Retry-After", "X-Weight-Versions", "X-Novel")
        value = "".join(each for each in text if each.isprintable() or each == "\t").strip()
        with contextlib.suppress(ValueError):
            # A number would mean something.
            float(value)
            return
        for server in self.world.servers.values():
            server.more_headers = {self.rng.choice(names): value[:2_000]}

    # --- callers ---------------------------------------------------------------------------------

    def send_headers(self, text: str) -> None:
        """Send requests with odd values in headers."""
        names = ["Resumes", "Last-Event-Id", "X-Model", "X-Prefix-Hash", "X-Token-Count"]
        names += [
            "Host",
            "Connection",
            "X-Length-Hint",
            "X-Deadline-Ms",
            "X-Key",
            "X-Tenant",
            "Kv-Fetch",
            "X-Novel",
        ]
        value = text.encode()
        for name in self.rng.sample(names, 4):
            for path in ("/lm/chat/", "/shop/look/"):
                self._send_raw(b"POST " + path.encode(), name.encode() + b": " + value)
        self._send_raw(b"POST /shop/look/", b"X-Novel" + value + b": 1")

    def send_target(self, text: str) -> None:
        """Send requests with odd targets and methods."""
        value = text.encode()
        self._send_raw(b"GET /shop/look/" + value, b"X-Novel: 1")
        self._send_raw(b"GET /shop/look/?a=" + value, b"X-Novel: 1")
        self._send_raw(value + b" /shop/look/", b"X-Novel: 1")

    def _send_raw(self, start: bytes, line: bytes) -> None:
        name = self.rng.choice(sorted(self.world.running))
        host, _, port = self.world.running[name].caller_address.rpartition(":")
        head = [
            start + b" HTTP/1.1",
            b"Host: " + HOST.encode(),
            b"X-Key: " + KEY.encode(),
            b"X-Attempt-Id: " + self.world.new_id().encode(),
            b"Content-Length: 0",
            b"Connection: close",
            line,
            b"\r\n",
        ]
        with (
            contextlib.suppress(OSError),
            socket.create_connection((host, int(port)), timeout=_READ_TIMEOUT_S) as conn,
        ):
            conn.sendall(b"\r\n".join(head))
            while conn.recv(65_536):
                pass

    # --- what must hold --------------------------------------------------------------------------

    def _send_all(self) -> list[int]:
        """Return the statuses of sound calls of each kind at each instance."""
        sends = (self.world.send, self.world.send_safe, self.world.send_unsafe)
        return [send(instance=name).status for name in self.world.running for send in sends]

    def undo(self) -> None:
        """Make servers and entries sound again."""
        for name, server in self.world.servers.items():
            server.event_ids, server.forms, server.more_headers, server.mode = {}, [], {}, ""
            if name != _ODD_SERVER:
                self.world.register(name)

    def play(self, rounds: int) -> Iterator[str]:
        """Play rounds of one value each; yield what was broken."""
        for _ in range(rounds):
            step, text = self.rng.choice(self.steps), self.draw_text()
            about = f"{step.__name__} {text[:60]!r} ({len(text)} characters)"
            seen = {name: len(each.process.lines) for name, each in self.world.running.items()}
            try:
                step(text)
                statuses = self._send_all()
            except (AssertionError, OSError, TimeoutError) as exc:
                yield f"{about}: {exc!r}"[:600]
                statuses = []
            self.undo()
            marks: tuple[str, ...] = BLAMES
            if set(statuses) - {200}:
                yield f"{about}: statuses {statuses}"
                marks += CAUSES
            for name, instance in self.world.running.items():
                for line in list(instance.process.lines)[seen[name] :]:
                    if any(mark in line for mark in marks):
                        yield f"{about}: {name} logged {line[:400]}"


def play(seed: int, rounds: int, directory: Path) -> list[str]:
    """Play a seed; return what was broken."""
    with PlatformWorld(directory, engines=3, instances=2) as world:
        world.add_server(_ODD_SERVER, "shop")
        world.store.write(SERVERS, _ODD_SERVER, None)
        return list(OddValues(world, Random(seed)).play(rounds))


if __name__ == "__main__":
    sys.exit(play_seeds(play, "odd-values"))
