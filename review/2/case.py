"""The store comes back from a copy 3 s old; the operator's next manifest takes a key away.

It is played up to three times, each with another key, and ends with the first key that stays in use.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from plain_servers import PlainServer  # noqa: E402
from standins import (  # noqa: E402
    BOUNDS,
    KEY,
    Record,
    World,
    exchange,
    is_troubled,
    manifest,
    new_id,
    request_headers,
    run_case,
)

MACHINES = 6
REQUESTS_PER_S = 20
ROUNDS = 3
# Before the first round, and after each manifest that takes a key away.
BEFORE_S = 12.0
AFTER_S = 15.0
COPY_AGE_S = 3.0
AWAY_S = 0.3
# How long the operator takes for one write.
WRITE_S = 0.005
TAKEN_KEYS = [f"k7w2taken{number}away9keyfida" for number in range(1, ROUNDS + 1)]
REVOKE_S = BOUNDS["revoke_ms"] / 1000


def document(version: int, taken: int) -> dict[str, Any]:
    """Return a manifest without the first of the keys; versions differ in a route's timeout too."""
    value = manifest(version)
    value["routes"][0]["timeout-ms"] = 12000 + version
    value["tenants"].append({"name": "fida11", "api-keys": TAKEN_KEYS[taken:]})
    return value


async def main() -> int:
    record = Record(FOLDER)
    # By key, when each request was sent, by id.
    sent_at: dict[str, dict[str, float]] = {key: {} for key in TAKEN_KEYS}
    broken = False
    async with World(record, MACHINES) as world:
        store = world.store
        loop = asyncio.get_running_loop()
        world.spawn(store.note_ends_forever())

        async def publish(version: int, taken: int) -> float:
            """Write a manifest as the operator, as soon as the store answers; return the ack."""
            while store.is_away:
                await asyncio.sleep(WRITE_S)
            await asyncio.sleep(WRITE_S)
            offset = store.write("keyed.op", "config", document(version, taken))
            record.write("manifest", version=version, taken=taken, offset=offset, era=store.era)
            return loop.time()

        await publish(1, 0)
        servers = [
            PlainServer(world, f"i-shop{number}", zone)
            for number, zone in enumerate(world.zones, 1)
        ]
        for server in servers:
            await server.start()
        world.start_machines()
        if not await world.until_ready():
            print("the machines did not become ready")
            return 2
        tasks: set[asyncio.Task[None]] = set()

        async def send(key: str) -> None:
            attempt_id = new_id()
            machine = random.choice([each for each in world.machines if each.is_ready])
            method, target, body = random.choice([("GET", "/look/1", b""), ("POST", "/buy/1", b"1")])
            if key in sent_at:
                sent_at[key][attempt_id] = loop.time()
            status = 0
            try:
                async with asyncio.timeout(1.0):
                    headers = request_headers(attempt_id, 1000, key=key)
                    answer = await exchange(
                        machine.host, world.caller_port, method, target, headers, body
                    )
                    status = answer.status
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            record.write("answered", id=attempt_id, key=key, machine=machine.name, status=status)

        async def send_forever() -> None:
            while True:
                for key in (KEY, *TAKEN_KEYS):
                    task = asyncio.create_task(send(key))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                await asyncio.sleep(4 / REQUESTS_PER_S)

        traffic = world.spawn(send_forever())
        await asyncio.sleep(BEFORE_S)
        version = 1
        for number, key in enumerate(TAKEN_KEYS):
            await publish(version + 1, number)
            await asyncio.sleep(1.0)
            version += 2
            await publish(version, number)
            await asyncio.sleep(1.5)
            if is_troubled():
                store.is_away = True
                record.write("store-away")
                await asyncio.sleep(AWAY_S)
                store.restore(COPY_AGE_S)
                store.is_away = False
                record.write("store-back", era=store.era, end=len(store.topics["keyed.op"]))
                # "What the operator and the servers wrote is written again."
                await publish(version, number)
            version += 1
            taken_at = await publish(version, number + 1)
            await asyncio.sleep(AFTER_S)
            ran = {attempt_id for server in servers for attempt_id in server.ran}
            late = [each for each, at in sent_at[key].items() if at > taken_at + REVOKE_S]
            late_runs = [each for each in late if each in ran]
            print(
                f"key {number + 1}: requests sent later than {REVOKE_S} s after the ack: "
                f"{len(late)}, of them run: {len(late_runs)}"
            )
            record.write("key", number=number + 1, late=len(late), late_runs=len(late_runs))
            if late_runs:
                broken = True
                break
        traffic.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    print(f"rule {'broken' if broken else 'held'}")
    record.write("verdict", broken=broken)
    record.close()
    return int(broken)


sys.exit(run_case(main))
