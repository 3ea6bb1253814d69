"""Runs test cases in several processes, with the same report in every run."""

import importlib
import logging
import multiprocessing
import os
import sys
import time
import unittest
from collections.abc import Iterable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass

import structlog

import tests.fixtures  # noqa: F401
import tests.network  # noqa: F401

__all__ = ["CaseResult", "Job", "flatten", "prepare_process", "run_jobs"]

# Set in modules whose tests use no sockets, so that they may run side by side.
SPLIT_FLAG = "SPLIT_CASES"


@dataclass(kw_only=True, frozen=True)
class Job:
    """Cases of one module that run one after the other; ``names`` as in reports."""

    module: str
    names: tuple[str, ...]


@dataclass(kw_only=True, frozen=True)
class CaseResult:
    """How a case ended; ``failure`` is empty if it passed."""

    name: str
    seconds: float
    failure: str = ""


def prepare_process() -> None:
    """Silence the logs of the code under test."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    logging.disable(logging.CRITICAL)


def make_jobs(names: Iterable[str]) -> list[Job]:
    """
    Group cases by module, those of modules with ``SPLIT_CASES`` each on its own.

    :param names: names of cases, each a module and a function
    :return: jobs, split ones first, as they are the longest
    """
    modules: dict[str, list[str]] = {}
    for name in names:
        modules.setdefault(name.rpartition(".")[0], []).append(name)
    split, whole = [], []
    for module, members in modules.items():
        if getattr(importlib.import_module(module), SPLIT_FLAG, False):
            split += [Job(module=module, names=(name,)) for name in members]
        else:
            whole.append(Job(module=module, names=tuple(members)))
    return split + whole


def run_job(job: Job) -> list[CaseResult]:
    """
    Run the cases of a job in this process.

    :param job: the job
    :return: results in the order of the cases
    """
    suite = unittest.TestLoader().loadTestsFromName(job.module)
    cases = {case.shortDescription(): case for case in flatten(suite)}
    return [run_case(name, cases[name]) for name in job.names]


def run_case(name: str, case: unittest.TestCase) -> CaseResult:
    """
    Run one case.

    :param name: its name
    :param case: the case
    :return: its result
    """
    result = unittest.TestResult()
    began = time.perf_counter()
    case.run(result)
    seconds = time.perf_counter() - began
    texts = [text for _, text in result.failures + result.errors]
    return CaseResult(name=name, seconds=seconds, failure="\n".join(texts))


def flatten(suite: unittest.TestSuite) -> Iterable[unittest.TestCase]:
    """
    Iterate over the cases of nested suites.

    :param suite: a suite of suites and cases
    :return: the cases in order
    """
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def run_jobs(names: Sequence[str], *, processes: int | None = None) -> list[CaseResult]:
    """
    Run cases in several processes.

    :param names: names of the cases
    :param processes: number of processes, one for each processor if None
    :return: results in the order of the names
    """
    jobs = make_jobs(names)
    results: dict[str, CaseResult] = {}
    with ProcessPoolExecutor(
        max_workers=processes or os.cpu_count(),
        mp_context=multiprocessing.get_context("spawn"),
        initializer=prepare_process,
    ) as pool:
        futures = [(job, pool.submit(run_job, job)) for job in jobs]
        for job, future in futures:
            for result in collect(job, future):
                results[result.name] = result
                sys.stderr.write("F" if result.failure else ".")
                sys.stderr.flush()
    sys.stderr.write("\n")
    return [results[name] for name in names]


def collect(job: Job, future: "Future[list[CaseResult]]") -> list[CaseResult]:
    """
    Wait for the results of a job.

    :param job: the job
    :param future: its results
    :return: the results; failures if its process has ended
    """
    try:
        return future.result()
    except Exception as exc:
        text = f"the process of the test has ended: {exc!r}"
        return [CaseResult(name=name, seconds=0.0, failure=text) for name in job.names]
