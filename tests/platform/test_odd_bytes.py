"""A short seeded play of malformed bytes at every port, with real processes."""

from __future__ import annotations

from pathlib import Path

from tests.platform import odd_bytes


def test_malformed_bytes_at_every_port_end_no_process(tmp_path: Path) -> None:
    # Guards against a fatal error of a parser, or an error in a callback, on odd bytes.
    assert not odd_bytes.play(1, 12, tmp_path)
