"""A model server as a process: `engine.py NAME PORT EVENTS GAP_MS UNFRAMED_SHARE UNFRAMED_MS NOTICE_MS`.

It tells the script on standard output what it does, one JSON object a line: its check-ins, which
the script writes to the store for it, and the requests that it runs. It works on a request until
the answer is whole or the channel is closed. At SIGTERM it reports that it is draining, goes on
serving for `NOTICE_MS` and exits, whatever still runs. For `UNFRAMED_MS` after SIGUSR1 a share of
the answers that it begins has no length and ends with its channel.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins import HEARTBEAT_S, Call, serve, signature  # noqa: E402

NAME, PORT, EVENTS, GAP_S = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]) / 1000
UNFRAMED_SHARE = float(sys.argv[5])
UNFRAMED_S = float(sys.argv[6]) / 1000
NOTICE_S = float(sys.argv[7]) / 1000
# One answer in so many has no length and ends with its channel.
UNFRAMED_EVERY = round(1 / UNFRAMED_SHARE)
BORN = int(time.time() * 1000)


OFFSET = random.randrange(20)
ran: list[str] = []
unframed_until = 0.0


def tell(**fields: Any) -> None:
    """Write one line for the script."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


def event(number: int) -> bytes:
    """Return one event of a stream; the last one says so."""
    word = "last" if number == EVENTS else "piece"
    return f"id: {number}\ndata: {word} {number}\n\n".encode()


async def handle(call: Call) -> bool:
    """Run one request."""
    attempt_id = call.headers.get("x-attempt-id", "")
    if call.path == "/healthz":
        await call.answer(200, b"", {"X-Instance-Id": NAME})
        return True
    if call.headers.get("x-expect-instance", NAME) != NAME:
        await call.answer(421, b"", {"X-Attempt-Id": attempt_id})
        return True
    is_framed = True
    if time.monotonic() < unframed_until:
        ran.append(attempt_id)
        is_framed = (len(ran) + OFFSET) % UNFRAMED_EVERY != 0
    tell(run=attempt_id, framed=is_framed)
    body = b"".join(event(number) for number in range(1, EVENTS + 1))
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {attempt_id}",
        f"X-Server-Signature: {signature(body)}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked" if is_framed else "Connection: close",
    ]
    call.writer.write("\r\n".join([*lines, "", ""]).encode())
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(GAP_S)
        if call.writer.is_closing() or call.reader.at_eof():
            tell(left=attempt_id, events=number - 1)
            return False
        data = event(number)
        call.writer.write(b"%x\r\n%b\r\n" % (len(data), data) if is_framed else data)
        await call.writer.drain()
    if is_framed:
        call.writer.write(b"0\r\n\r\n")
        await call.writer.drain()
    tell(done=attempt_id, events=EVENTS)
    return is_framed


async def main() -> None:
    await serve("127.0.0.1", PORT, handle)
    loop = asyncio.get_running_loop()
    seq = 0
    state = "ready"

    def check_in() -> None:
        nonlocal seq
        seq += 1
        more = {"leaves_ms": int(1000 * NOTICE_S)} if state == "draining" else {}
        tell(entry={"state": state, "seq": seq, "born": BORN, "spot": True, **more})

    def leave() -> None:
        nonlocal state
        state = "draining"
        check_in()
        loop.call_later(NOTICE_S, os._exit, 0)

    def garble() -> None:
        global unframed_until
        unframed_until = time.monotonic() + UNFRAMED_S

    loop.add_signal_handler(signal.SIGTERM, leave)
    loop.add_signal_handler(signal.SIGUSR1, garble)
    while True:
        check_in()
        await asyncio.sleep(HEARTBEAT_S)


asyncio.run(main())
