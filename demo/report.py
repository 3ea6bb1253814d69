"""Prints the results of the demo and renders its closing line."""

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict

from demo.faults import InjectedFault
from standins.caller import AttemptResult, Record, RequestKind, Verdict
from standins.caller.verdict import percentile

__all__ = [
    "closing_line",
    "print_failed_attempts",
    "print_faults",
    "print_header",
    "print_table",
]

ROW_FORMAT = "{:<10}{:<17}{:>9}{:>9}{:>9}{:>9}{:>9}{:>10}{:>10}"


def print_faults(injected_faults: Sequence[InjectedFault]) -> None:
    """
    Print the injected failures, sorted by time.

    :param injected_faults: failures of all sites
    """
    print("\nfailures caused")
    for fault in sorted(injected_faults, key=lambda item: item.at_ms):
        print(f"  at {fault.at_ms / 1000:4.0f} s  {fault.site:<9} {fault.text}")


def print_table(site: str, records: Sequence[Record]) -> None:
    """
    Print one table row for each kind of request to a site.

    :param site: name of the site
    :param records: requests to the site
    """
    for kind in RequestKind:
        rows = [record for record in records if record.request.kind is kind]
        done = [record for record in rows if record.result is AttemptResult.DONE]
        latencies = [record.latency_ms for record in done]
        not_run = sum(record.result is AttemptResult.NOT_RUN for record in rows)
        resends = sum(len(record.attempts) - 1 for record in rows)
        print(
            ROW_FORMAT.format(
                site,
                kind,
                len(rows),
                len(done),
                not_run,
                len(rows) - len(done) - not_run,
                resends,
                f"{percentile(latencies, 0.5):.1f}",
                f"{percentile(latencies, 0.99):.1f}",
            )
        )


def print_header() -> None:
    """Print the title and the column names of the table."""
    print("\nwhat callers saw")
    names = ("requests", "done", "not run", "other", "resends", "p50 ms", "p99 ms")
    print(ROW_FORMAT.format("site", "kind", *names))


def print_failed_attempts(records: Sequence[Record]) -> None:
    """
    Print the number of attempts that were not done, by result and error code.

    :param records: requests to both sites
    """
    counts = Counter(
        (attempt.result, attempt.code or "-")
        for record in records
        for attempt in record.attempts
        if attempt.result is not AttemptResult.DONE
    )
    print("\nattempts that were not done, by result and error code")
    for (result, code), count in counts.most_common():
        print(f"  {count:>5} {result:<12} {code}")


def closing_line(verdict: Verdict) -> str:
    """
    Render the verdict as one JSON line.

    :param verdict: the verdict on both sites
    :return: a JSON object without a line break
    """
    return json.dumps(asdict(verdict) | {"kept": verdict.passed})
