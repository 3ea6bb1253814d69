"""Plays several seeds: ``python -m tests.soak --first SEED --count N``."""

import argparse
import asyncio
import json
import sys
from dataclasses import replace
from pathlib import Path

from tests.soak.plan import make_plan
from tests.soak.play import play


def main() -> int:
    """
    Play seeds and print what each showed.

    :return: 1 if a rule was broken, else 0
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--hosts", type=int, default=17)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--plan", type=json.loads, default={}, help="fields to set")
    args = parser.parse_args()
    failed = 0
    for seed in range(args.first, args.first + args.count):
        drawn = make_plan(seed, hosts=args.hosts, seconds=args.seconds)
        plan = replace(drawn, **args.plan)
        folder = args.folder / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        verdict = asyncio.run(play(plan, seed, folder))
        failed += bool(verdict.broken)
        print(f"seed {seed}: {plan}")
        print(
            f"  {verdict.requests} requests {dict(sorted(verdict.statuses.items()))},"
            f" dropped at work {dict(sorted(verdict.dropped.items()))},"
            f" {verdict.judged} judged, {verdict.changes} changes, {verdict.leaves}"
            f" leaves, {verdict.late_runs} late runs, {verdict.stalls} stalls,"
            f" {len(verdict.broken)} broken",
            flush=True,
        )
        for line in verdict.broken[:10]:
            print(f"  {line}", flush=True)
    print(f"{failed} of {args.count} seeds broke a rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
