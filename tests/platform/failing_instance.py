"""Starts the daemon with a step of answering that fails once, when the file of the trigger appears.

The text of the file names the step, as module, class and method.
"""

from __future__ import annotations

import importlib
import os
import sys
from collections.abc import Callable
from pathlib import Path
from traceback import walk_stack
from typing import Any, Final

from tests.platform.faulty_instance import TRIGGER_VARIABLE, take_trigger
from turmericweir_platform.__main__ import main

_FORWARD: Final = "turmericweir.servers.forward:ForwardAttempt"
_ANSWER: Final = "turmericweir.answers.forward_answer:ForwardAnswer"
_CALLER: Final = "turmericweir.answers.caller_answer:Caller"
STEPS: Final = (
    f"{_CALLER}.write_head",
    f"{_CALLER}.write_body",
    f"{_ANSWER}.begin_answer",
    f"{_ANSWER}.buffer_body",
    f"{_ANSWER}.finish",
    f"{_FORWARD}.run",
    f"{_FORWARD}._make_request",
    f"{_FORWARD}._consume",
    "turmericweir.servers.forward:ForwardJob.make_attempt",
    "turmericweir.servers.backend_pool:BackendPool.acquire",
    "turmericweir.servers.backend_pool:BackendPool.release",
    "turmericweir.servers.backend_pool:BackendConnection.send",
    "turmericweir_platform.wire:PlatformWire.judge_answer",
    "turmericweir_platform.wire:PlatformWire.caller_headers",
)
# The modules of a request's handling; calls of the store and checks of servers share some steps.
_REQUEST_MODULES: Final = ("turmericweir.callers.exchange", "turmericweir.servers.forward")


def _is_for_a_request() -> bool:
    """Return whether the running step belongs to the handling of a request."""
    return any(frame.f_globals["__name__"] in _REQUEST_MODULES for frame, _ in walk_stack(None))


def _fail_once(step: str, trigger: Path) -> None:
    module, _, name = step.partition(":")
    owner, _, method = name.partition(".")
    holder = getattr(importlib.import_module(module), owner)
    original: Callable[..., Any] = getattr(holder, method)

    def run(*args: Any, **kwargs: Any) -> Any:
        if trigger.exists() and trigger.read_text() == step and _is_for_a_request():
            take_trigger(trigger)
            raise ValueError("a fault of the test")
        return original(*args, **kwargs)

    setattr(holder, method, run)


if __name__ == "__main__":
    for each in STEPS:
        _fail_once(each, Path(os.environ[TRIGGER_VARIABLE]))
    sys.exit(main())
