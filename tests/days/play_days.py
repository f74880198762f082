"""Plays days of trouble on the bench and prints one line per day, with the rules that broke.

    python3 -m tests.days.play_days --bench BENCH --site SITE --out DIRECTORY --why "..." DAY.toml...

The bench's own output of each day goes to DIRECTORY. The exit code is 1 if a rule broke or a day was not played.
"""

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

SCORE_LINE = re.compile(r"^\S+ +\d+/\d+ +(-?\d\.\d\d)", re.MULTILINE)
BROKEN_LINE = re.compile(r"^rules broken: (.*)$", re.MULTILINE)
SHORT_LINE = re.compile(r"^short of the gate: (.*)$", re.MULTILINE)


def summary(output, exit_code):
    """What one line says of a day, and whether it is good: (text, good)."""
    score = SCORE_LINE.search(output)
    if score is None:
        return f"not played, exit {exit_code}", False
    broken, short = BROKEN_LINE.search(output), SHORT_LINE.search(output)
    text = f"{score[1]} " + (f"BROKEN {broken[1]}" if broken else "no rule broken")
    if short:
        text += f"; short of the gate: {short[1]}"
    return text, broken is None


def play(told, day):
    """Plays one day; the bench's output is kept, its summary is printed."""
    command = [told.bench, "run", told.site, str(day), "--jobs", str(told.jobs), "--why", told.why[:120]]
    done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
    (told.out / f"{Path(told.site).stem}.{day.stem}.txt").write_text(done.stdout)
    text, good = summary(done.stdout, done.returncode)
    print(f"{Path(told.site).stem:24} {day.stem:52} {text}", flush=True)
    return good


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="path of the bench's program")
    parser.add_argument("--site", required=True, help="path of a site file")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--why", required=True, help="for the journal")
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, help="cores for each day")
    parser.add_argument("days", type=Path, nargs="+")
    told = parser.parse_args()
    told.out.mkdir(parents=True, exist_ok=True)
    with ThreadPoolExecutor(told.at_once) as pool:
        good = list(pool.map(lambda day: play(told, day), told.days))
    print(f"{len(good)} days, {good.count(False)} with a broken rule or not played")
    sys.exit(0 if all(good) else 1)


if __name__ == "__main__":
    main()
