"""Fixtures that every test shares."""

import pytest


@pytest.fixture(scope="session")
def anyio_backend() -> str:
    """Run coroutine tests on asyncio, the only backend that the daemon supports."""
    return "asyncio"
