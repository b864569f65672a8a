"""Another writer's entry of a server, in bytes that can't be read, while consumers send requests."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from plain_servers import PlainServer  # noqa: E402
from standins import Record, World, exchange, is_troubled, manifest, new_id, request_headers, run_case  # noqa: E402

MACHINES = 4
TRAFFIC_S = 45.0
TROUBLE_AT_S = 10.0
REQUESTS_PER_S = 20
# The rule: on a tenth of the machines in use, two at least, processes end three times.
ENDS = 3
MACHINES_MIN = max(2, -(-MACHINES // 10))
# Bytes that are no entry: an object that is cut off within 3,000 open lists. 3 KB of at most
# `record-bytes` (262,144).
UNREADABLE = b'{"note":' + b"[" * 3000


async def main() -> int:
    record = Record(FOLDER)
    counts = {"before": [0, 0], "after": [0, 0]}
    async with World(record, MACHINES) as world:
        world.store.write("keyed.op", "config", manifest(1))
        for number, zone in enumerate(world.zones, 1):
            await PlainServer(world, f"i-shop{number}", zone).start()
        world.start_machines()
        if not await world.until_ready():
            print("the machines did not become ready")
            return 2
        sent: set[asyncio.Task[None]] = set()

        async def send(phase: str) -> None:
            attempt_id = new_id()
            ready = [each for each in world.machines if each.is_ready]
            machine = random.choice(ready if 2 * len(ready) >= MACHINES else world.machines)
            method, target, body = random.choice(
                [("GET", "/look/1", b""), ("POST", "/buy/1", b"one")]
            )
            status = 0
            try:
                async with asyncio.timeout(1.0):
                    answer = await exchange(
                        machine.host,
                        world.caller_port,
                        method,
                        target,
                        request_headers(attempt_id, 1000),
                        body,
                    )
                    status = answer.status
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            counts[phase][0] += 1
            counts[phase][1] += status == 200
            record.write("answered", id=attempt_id, machine=machine.name, status=status)

        loop = asyncio.get_running_loop()
        start = loop.time()
        is_written = False
        while (now_s := loop.time() - start) < TRAFFIC_S:
            if now_s >= TROUBLE_AT_S and not is_written:
                is_written = True
                if is_troubled():
                    world.store.write("keyed.servers", "i-other", UNREADABLE)
                    record.write("unreadable-entry-written", bytes=len(UNREADABLE))
            task = asyncio.create_task(send("after" if is_written else "before"))
            sent.add(task)
            task.add_done_callback(sent.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*sent)
        ends = {each.name: len(each.exits) for each in world.machines}
    broken = sum(each >= ENDS for each in ends.values()) >= MACHINES_MIN
    for phase, (asked, served) in counts.items():
        print(f"{phase}: {asked} requests, {served} served")
    print(f"processes that ended by themselves: {ends}; rule {'broken' if broken else 'held'}")
    record.write("verdict", broken=broken, ends=ends)
    record.close()
    return int(broken)


sys.exit(run_case(main))
