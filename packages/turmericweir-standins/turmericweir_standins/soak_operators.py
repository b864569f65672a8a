"""Operators of `make soak`: two at once change the same path, again and again, while things fail.

Each pair goes by the same version, so at most one of the two may be accepted. What they were told
is kept, and compared at the end with what every instance holds: a change that was accepted is in
force everywhere, one that was refused is nowhere, and the newest one has not been reverted.
"""

from __future__ import annotations

import http.client
import itertools
import threading
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from turmericweir_standins.deployment import OPERATOR_TOKEN, Cluster, Instance
from turmericweir_standins.procs import JsonAnswer, call_json, wait_until

# A class that no customer has, so that its changes steer nothing.
PATH: Final = "/classes/spare"
ACCEPTED: Final = "accepted"
NOT_APPENDED: Final = "not_appended"
# Verdicts after which the operator need not ask again.
_FINAL: Final = frozenset({ACCEPTED, "conflict", NOT_APPENDED})
FOLLOW_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class Told:
    """What one operator was told of one change."""

    # Which pair it belongs to.
    pair: int
    change_id: str
    # Empty where the operator was told nothing.
    verdict: str


class Operators:
    """Change settings by way of any instances."""

    told: list[Told]

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pairs = itertools.count(1)
        self.told = []

    # --- changes ---

    def change_at_once(self, instances: Sequence[Instance]) -> None:
        """Change the path by way of each of these instances at the same moment."""
        version = _version(instances[0])
        if version is None:
            return
        pair = next(self._pairs)
        threads = [
            threading.Thread(target=self._change, args=(each, version, pair, f"soak-{pair}-{it}"))
            for it, each in enumerate(instances)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _change(self, instance: Instance, version: int, pair: int, change_id: str) -> None:
        value = {"priority": 9, "first_token_target_ms": 1000 + pair}
        body = {"value": value, "expected_version": version, "change_id": change_id}
        answer = _call(instance, "PUT", PATH, body)
        verdict = "" if answer is None else str(answer.body.get("verdict", ""))
        self.told.append(Told(pair, change_id, verdict))

    # --- what every instance holds ---

    def find_wrong(self) -> list[str]:
        """Wait until all instances hold the same; return a line for each thing that is wrong."""
        instances = list(self._cluster.instances.values())
        try:
            wait_until(lambda: _agree(instances), "all hold the same settings", FOLLOW_S)
        except TimeoutError as exc:
            return [str(exc)]
        found: list[str] = []
        accepted: dict[int, list[int]] = {}
        for told in self.told:
            held = [_verdict(each, told.change_id) for each in instances]
            found += _compare(told, [kind for kind, _ in held])
            if held[0][0] == ACCEPTED:
                accepted.setdefault(told.pair, []).append(held[0][1])
        found += [f"pair {pair}: {len(its)} accepted" for pair, its in accepted.items() if its[1:]]
        newest = max((offset for its in accepted.values() for offset in its), default=None)
        if newest is not None:
            wrong = [each.name for each in instances if _version(each) != newest + 1]
            found += [f"{name} does not hold the newest accepted change" for name in wrong]
        return found


def _compare(told: Told, held: list[str]) -> list[str]:
    expected = held[0]
    if told.verdict in _FINAL:
        expected = "" if told.verdict == NOT_APPENDED else told.verdict
    if set(held) == {expected}:
        return []
    return [f"{told.change_id}: told {told.verdict or 'nothing'}, held as {held}"]


def _agree(instances: Sequence[Instance]) -> bool:
    answers = [_call(each, "GET", "") for each in instances]
    return len({it.body["hash"] if it else None for it in answers} - {None}) == 1 and all(answers)


def _version(instance: Instance) -> int | None:
    answer = _call(instance, "GET", PATH)
    if answer is None or answer.status not in (200, 404):
        return None
    return int(answer.body["version"]) if answer.status == 200 else 0


def _verdict(instance: Instance, change_id: str) -> tuple[str, int]:
    """Give how an instance holds a change, and its offset; empty where it holds none."""
    answer = _call(instance, "GET", f"/changes/{change_id}")
    if answer is None or answer.status != 200:
        return "", -1
    return str(answer.body["verdict"]), int(answer.body.get("offset", -1))


# Any: the answer's body is whatever the call answers.
def _call(instance: Instance, method: str, path: str, body: Any = None) -> JsonAnswer | None:
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    try:
        return call_json(instance.admin_address, method, f"/settings{path}", body, headers)
    except (OSError, http.client.HTTPException):
        return None
