"""Operators of `make soak`: pairs of concurrent changes of one path during faults.

Both changes of a pair are made for the same version; at most one of them may be accepted. At the
end the verdicts that the operators received are compared with the state of all instances: accepted
changes must be known to all, refused ones to none, and the newest one must not be reverted.
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

# A class without customers; its changes have no effect on requests.
SPARE_CLASS_PATH: Final = "/classes/spare"
ACCEPTED: Final = "accepted"
NOT_APPENDED: Final = "not_appended"
# Verdicts that do not change any more.
_FINAL: Final = frozenset({ACCEPTED, "conflict", NOT_APPENDED})
CONVERGENCE_TIMEOUT_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class ReportedVerdict:
    """The verdict on one change that its operator received."""

    # The number of the pair.
    pair: int
    change_id: str
    # Empty if the operator got no answer.
    verdict: str


class Operators:
    """Operators that change settings and compare the verdicts with the instances' state."""

    reported: list[ReportedVerdict]

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pairs = itertools.count(1)
        self.reported = []

    # --- changes ---

    def change_concurrently(self, instances: Sequence[Instance]) -> None:
        """Change the path through all these instances at the same time."""
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
        answer = _call(instance, "PUT", SPARE_CLASS_PATH, body)
        verdict = "" if answer is None else str(answer.body.get("verdict", ""))
        self.reported.append(ReportedVerdict(pair, change_id, verdict))

    # --- comparison ---

    def find_violations_of_settings(self) -> list[str]:
        """Wait until all instances have the same settings; return a line for each violation."""
        instances = list(self._cluster.instances.values())
        try:
            wait_until(
                lambda: _have_same_settings(instances),
                "all instances have the same settings",
                CONVERGENCE_TIMEOUT_S,
            )
        except TimeoutError as exc:
            return [str(exc)]
        violations: list[str] = []
        accepted: dict[int, list[int]] = {}
        for reported in self.reported:
            instance_verdicts = [_verdict(each, reported.change_id) for each in instances]
            violations += _compare_verdicts(reported, [kind for kind, _ in instance_verdicts])
            if instance_verdicts[0][0] == ACCEPTED:
                accepted.setdefault(reported.pair, []).append(instance_verdicts[0][1])
        violations += [
            f"pair {pair}: {len(offsets)} accepted"
            for pair, offsets in accepted.items()
            if offsets[1:]
        ]
        newest = max((offset for offsets in accepted.values() for offset in offsets), default=None)
        if newest is not None:
            wrong = [each.name for each in instances if _version(each) != newest + 1]
            violations += [f"{name} does not have the newest accepted change" for name in wrong]
        return violations


def _compare_verdicts(reported: ReportedVerdict, instance_verdicts: list[str]) -> list[str]:
    expected = instance_verdicts[0]
    if reported.verdict in _FINAL:
        expected = "" if reported.verdict == NOT_APPENDED else reported.verdict
    if set(instance_verdicts) == {expected}:
        return []
    return [
        f"{reported.change_id}: reported {reported.verdict or 'nothing'}, "
        f"instances have {instance_verdicts}"
    ]


def _have_same_settings(instances: Sequence[Instance]) -> bool:
    answers = [_call(each, "GET", "") for each in instances]
    return len({it.body["hash"] if it else None for it in answers} - {None}) == 1 and all(answers)


def _version(instance: Instance) -> int | None:
    answer = _call(instance, "GET", SPARE_CLASS_PATH)
    if answer is None or answer.status not in (200, 404):
        return None
    return int(answer.body["version"]) if answer.status == 200 else 0


def _verdict(instance: Instance, change_id: str) -> tuple[str, int]:
    """Return the verdict on a change and its offset by an instance; empty if it has none."""
    answer = _call(instance, "GET", f"/changes/{change_id}")
    if answer is None or answer.status != 200:
        return "", -1
    return str(answer.body["verdict"]), int(answer.body.get("offset", -1))


# Any: the body of the request has no fixed type.
def _call(instance: Instance, method: str, path: str, body: Any = None) -> JsonAnswer | None:
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    try:
        return call_json(instance.admin_address, method, f"/settings{path}", body, headers)
    except (OSError, http.client.HTTPException):
        return None
