"""String types for the names of things, which make signatures explicit and checkable."""

from __future__ import annotations

from typing import Final, NewType

RequestId = NewType("RequestId", str)
# Unique for each attempt of a request: the request id, a dot and a number.
AttemptId = NewType("AttemptId", str)
# A backend server, as listed in the settings or by the platform.
ServerName = NewType("ServerName", str)
# An entry instance of turmericweir.
InstanceName = NewType("InstanceName", str)
# Stands where the name of a peer is expected for connections that go by way of none.
DIRECT: Final = InstanceName("")
# The model or plain service that a request is for.
Target = NewType("Target", str)


def request_id_of(attempt_id: AttemptId) -> RequestId:
    """Return the id of the request that an attempt belongs to."""
    return RequestId(attempt_id.rpartition(".")[0])


def make_attempt_id(request_id: RequestId, number: int) -> AttemptId:
    """Return the id of a request's attempt with the given number."""
    return AttemptId(f"{request_id}.{number}")
