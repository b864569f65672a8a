"""A world whose instances have faults of their own when a test wants them."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from tests.platform.faulty_instance import TRIGGER_VARIABLE
from tests.platform.platform_world import PlatformWorld
from turmericweir_standins.procs import Process

ROOT = Path(__file__).parents[2]


class FaultyWorld(PlatformWorld):
    """Starts instances in which a test can trigger faults."""

    # The module that runs the daemon with its faults.
    program = "tests.platform.faulty_instance"

    def trigger(self, name: str, fault: str) -> None:
        """Make a fault happen in an instance."""
        path = self._trigger_path(name)
        written = path.with_suffix(".written")
        written.write_text(fault)
        written.rename(path)

    def _trigger_path(self, name: str) -> Path:
        return self.directory / f"{name}.fault"

    def _launch(self, name: str) -> Process:
        env = {
            "TURMERICWEIR_CONFIG": str(self.directory / f"{name}.json"),
            TRIGGER_VARIABLE: str(self._trigger_path(name)),
            "PYTHONPATH": os.pathsep.join([str(ROOT), *sys.path]),
        }
        argv = [sys.executable, "-m", self.program]
        process = Process(argv, name=name, directory=self.directory, env=env)
        process.start()
        return process


class FailingWorld(FaultyWorld):
    """Starts instances in which a test makes a step of answering fail."""

    program = "tests.platform.failing_instance"
