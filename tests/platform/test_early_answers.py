"""Tests of uploads that servers answer before they have read them, and break off."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.platform.early_answers import run

_SEED = 1
_PLAYS = 10


@pytest.mark.parametrize("is_by_peer", [False, True], ids=["direct", "by way of a peer"])
def test_early_answer_that_is_broken_off_never_looks_complete(
    tmp_path: Path, is_by_peer: bool
) -> None:
    # Guards against a part of an answer that a reset during the upload makes look whole.
    play = run(tmp_path, _SEED, _PLAYS, is_by_peer=is_by_peer)
    assert not play.errors
    assert play.seen.total() == _PLAYS
