"""A stand-in for the platform's API for usage reports and server orders."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from tests.platform.standin_http import Call


@dataclass(frozen=True, slots=True)
class DutyCall:
    """An accepted call."""

    path: str
    holder: str
    fence: int
    body: dict[str, Any]


class DutyStandin:
    """Accepts usage reports and server orders from the duty holder."""

    def __init__(self) -> None:
        # "" for correct answers, "busy", "silent", "unanswered" (carries a call out and loses the
        # answer), "late" (carries it out when its caller has given up), or "none" (no
        # servers are available).
        self.mode = ""
        # Whether calls with a stale fencing number are refused.
        self.checks_fence = True
        # Delay before a call is carried out, also if its caller has given up meanwhile.
        self.delay_s = 0.0
        self.accepted: list[DutyCall] = []
        self.refused = 0
        self._highest_fences: dict[str, int] = {}

    async def handle(self, call: Call) -> bool:
        """Answer one call."""
        if self.mode == "busy":
            await call.answer(429)
            return True
        if self.mode == "silent":
            await call.wait_closed()
            return False
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.mode == "late":
            await call.wait_closed()
        body = json.loads(call.body)
        subject = call.path
        if call.path == "/scale":
            subject = f"{body['service']}/{body['zone']}"
        fence = int(call.headers["x-fencing-token"])
        if self.checks_fence and fence < self._highest_fences.get(subject, -1):
            self.refused += 1
            await call.answer(409, b'{"error":"a higher fence was seen"}')
            return True
        self._highest_fences[subject] = max(fence, self._highest_fences.get(subject, -1))
        if self.mode == "none" and call.path == "/scale":
            await call.answer(409, b'{"error":"none of that kind is to be had there"}')
            return True
        self.accepted.append(DutyCall(call.path, call.headers["x-lease-holder"], fence, body))
        if self.mode == "unanswered":
            await call.wait_closed()
            return False
        await call.answer(200, b"{}")
        return True

    def counts_by_window(self) -> dict[int, dict[str, int]]:
        """Return the reported counts by window; fail if reports of one window differ."""
        reports: dict[int, dict[str, int]] = {}
        for call in list(self.accepted):
            if call.path == "/usage":
                counts = call.body["counts"]
                assert reports.setdefault(call.body["window-id"], counts) == counts
        return reports

    def reported_requests(self) -> int:
        """Return the number of reported requests."""
        return sum(sum(each.values()) for each in self.counts_by_window().values())

    def holders(self) -> list[str]:
        """Return the names of successive holders, in order."""
        names = [each.holder for each in list(self.accepted)]
        return [name for n, name in enumerate(names) if n == 0 or names[n - 1] != name]

    def orders(self) -> list[dict[str, Any]]:
        """Return the accepted server orders."""
        return [each.body for each in list(self.accepted) if each.path == "/scale"]
