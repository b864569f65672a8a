"""The events in an engine's record, and the count of tokens in it.

`received` is written before any work, `started` with the first step; `refused` or `ended` is the
last event of each request. `ended` contains the number of generated tokens, delivered or not.
`progress` repeats the counts of all unfinished requests; the record of a killed engine lacks at
most the tokens of one interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Literal

from turmericweir_standins.engine_batch import Sequence
from turmericweir_standins.engine_models import Order
from turmericweir_standins.record import Recorder

EndOutcome = Literal["finished", "aborted", "cancelled", "crashed"]


class EngineRecord:
    """Write the events of one engine."""

    _name: str
    _recorder: Recorder

    def __init__(self, name: str, recorder: Recorder) -> None:
        self._name = name
        self._recorder = recorder

    def incarnation_started(self, incarnation: str) -> None:
        """Record a start or a restart."""
        self._write("life", incarnation=incarnation)

    def received(self, sequence: Sequence, stream: bool) -> None:
        """Record a request that was accepted."""
        self._write(
            "received",
            **_ids(sequence),
            model=sequence.model,
            priority=sequence.priority,
            prompt_tokens=sequence.prompt.tokens,
            from_token=sequence.start,
            length=sequence.answer.length,
            stream=stream,
        )

    def refused(self, request_id: str, attempt_id: str, reason: str) -> None:
        """Record a request that was refused before any work."""
        self._write("refused", request_id=request_id, attempt_id=attempt_id, reason=reason)

    def started(self, sequence: Sequence) -> None:
        """Record the first step of a sequence."""
        self._write("started", **_ids(sequence))

    def preempted(self, sequence: Sequence) -> None:
        """Record a preemption."""
        self._write("preempted", **_ids(sequence), tokens=sequence.generated)

    def ended(self, sequence: Sequence, outcome: EndOutcome) -> None:
        """Record the end of a sequence."""
        self._write(
            "ended",
            **_ids(sequence),
            outcome=outcome,
            tokens=sequence.generated,
            preemptions=sequence.preemptions,
        )

    def progress(self, sequences: Iterable[Sequence]) -> None:
        """Record the generated tokens of all unfinished sequences."""
        counts = [[each.request_id, each.attempt_id, each.generated] for each in sequences]
        if counts:
            self._write("progress", tokens=counts)

    def crashed(self, by: Sequence) -> None:
        """Record a crash and the sequence that caused it."""
        self._write("crash", **_ids(by))

    def order(self, order: Order, state: str, fence: int) -> None:
        """Record an order and its result."""
        self._write("order", order=order.model_dump(), state=state, engine_fence=fence)

    def kv_moved(self, request_id: str, event: Literal["kv_exported", "kv_imported"]) -> None:
        """Record an export or import of KV."""
        self._write(event, request_id=request_id)

    def behaviour(self, table: dict[str, object]) -> None:
        """Record a change of behaviours."""
        self._write("behaviour", table=table)

    def _write(self, event: str, **fields: object) -> None:
        self._recorder.write(event, engine=self._name, **fields)


# Any: as in `read_records`.
def tokens_by_attempt(records: Iterable[dict[str, Any]]) -> dict[tuple[str, str], int]:
    """Return the number of generated tokens for each (request id, attempt id)."""
    ended: dict[tuple[str, str], int] = {}
    unfinished: dict[tuple[str, str], int] = {}
    for record in records:
        match record["event"]:
            case "ended":
                key = (record["request_id"], record["attempt_id"])
                ended[key] = ended.get(key, 0) + record["tokens"]
            case "progress":
                for request_id, attempt_id, tokens in record["tokens"]:
                    unfinished[request_id, attempt_id] = tokens
            case _:
                pass
    return unfinished | ended


def _ids(sequence: Sequence) -> dict[str, str]:
    return {"request_id": sequence.request_id, "attempt_id": sequence.attempt_id}
