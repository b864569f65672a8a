"""Names of things as plain strings, so that signatures say which name they want."""

from __future__ import annotations

from typing import NewType

RequestId = NewType("RequestId", str)
# Unique for each try of a request on a server: the request id, a dot and a number.
AttemptId = NewType("AttemptId", str)
# A backend server, as the platform's list or the settings name it.
ServerName = NewType("ServerName", str)
# An entry instance of turmericweir.
InstanceName = NewType("InstanceName", str)
# A model or a plain service: what a request asks for.
Target = NewType("Target", str)


def request_of(name: AttemptId) -> RequestId:
    """Give the request that an attempt belongs to."""
    return RequestId(name.rpartition(".")[0])


def attempt_id(request_id: RequestId, number: int) -> AttemptId:
    """Name the attempt with that number of a request."""
    return AttemptId(f"{request_id}.{number}")
