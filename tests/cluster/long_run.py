"""Random schedules in number: `python -m tests.cluster.long_run --seeds 2000 [--first 0] [--jobs 4] [--steps 30]` plays that
many seeds from the first on and prints each one that does not hold; the exit status is 1 if there is any. A seed is played
again alone by `--first SEED --seeds 1`."""

import argparse
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from .schedules import STEPS, play


def judge(seed, steps):
    try:
        return seed, play(seed, steps)
    except Exception as why:
        return seed, [f"broke: {why!r}"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--steps", type=int, default=STEPS)
    options = parser.parse_args()
    began, broken = time.monotonic(), 0
    with ProcessPoolExecutor(options.jobs) as pool:
        seeds = range(options.first, options.first + options.seeds)
        for seed, wrong in pool.map(partial(judge, steps=options.steps), seeds, chunksize=4):
            if wrong:
                broken += 1
                print(f"seed {seed}: {wrong}", flush=True)
    print(f"{options.seeds} seeds from {options.first}, {broken} broken, {time.monotonic() - began:.0f} s")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
