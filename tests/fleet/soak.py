"""Plays many seeds of a soak in several processes and prints what they show."""

import argparse
import logging
import multiprocessing
from collections.abc import Callable
from typing import Any

import structlog

__all__ = ["run_soak", "silence_logs"]


def silence_logs() -> None:
    """Leave out the log lines of the simulated hosts."""
    level = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=level)


def run_soak(
    *,
    description: str,
    run_seed: Callable[[int], tuple[int, Any]],
    describe: Callable[[Any], str],
    find_faults: Callable[[Any], list[str]],
) -> int:
    """
    Play the seeds that the command line names.

    :param description: what the soak plays, for its help
    :param run_seed: plays a seed; returns it with what its run showed
    :param describe: describes what a run showed
    :param find_faults: lists the broken properties of a run
    :return: exit status, 1 if a property was broken
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=4, help="processes")
    args = parser.parse_args()
    failed = 0
    with multiprocessing.Pool(args.jobs, initializer=silence_logs) as pool:
        seeds = range(args.first, args.first + args.seeds)
        for seed, verdict in pool.imap(run_seed, seeds):
            faults = find_faults(verdict)
            failed += bool(faults)
            line = "; ".join([f"seed {seed}: {describe(verdict)}", *faults])
            print(line, flush=True)
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0
