"""Play the seeds given on a command line, each in a world and a folder of its own."""

from __future__ import annotations

import argparse
import tempfile
from collections.abc import Callable
from pathlib import Path

# Plays a seed for some rounds in a folder; returns what was broken.
Play = Callable[[int, int, Path], list[str]]


def play_seeds(play: Play, prefix: str) -> int:
    """Play the seeds given on the command line; return the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-10")
    parser.add_argument("--rounds", type=int, default=60)
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    broken_count = 0
    for seed in range(int(first), int(last or first) + 1):
        directory = Path(tempfile.mkdtemp(prefix=f"{prefix}-{seed}-"))
        broken = play(seed, args.rounds, directory)
        broken_count += bool(broken)
        print(f"seed {seed}: {'broken, see ' + str(directory) if broken else 'kept'}", flush=True)
        for line in broken:
            print(f"  {line}", flush=True)
    return 1 if broken_count else 0
