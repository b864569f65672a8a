"""Fixtures and settings that every test shares."""

from __future__ import annotations

import os

import pytest
from hypothesis import settings

# The same examples in every run, so that CI gives the same verdict on the same code. To look for
# new failures, run with HYPOTHESIS_PROFILE=explore.
settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.register_profile("explore", deadline=None, database=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "same"))


@pytest.fixture(scope="session")
def anyio_backend() -> str:
    """Run coroutine tests on asyncio, the only backend that the daemon supports."""
    return "asyncio"
