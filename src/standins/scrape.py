"""Reads metrics and readiness of an entry host."""

from collections import Counter

from prometheus_client.parser import text_string_to_metric_families
from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from standins.caller.connection import Address
from standins.processes import ProcessError

__all__ = ["Totals", "is_ready", "scrape"]

Totals = Counter[str]


async def scrape(admin: Address) -> Totals:
    """
    Read the metrics of an entry host.

    :param admin: address of the host's operator API
    :return: values by sample name, summed over labels
    :raises ProcessError: when the metrics cannot be read
    """
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(f"http://{admin[0]}:{admin[1]}/metrics")
    except (HTTPClientError, OSError) as exc:
        raise ProcessError(f"cannot read metrics from port {admin[1]}") from exc
    finally:
        client.close()
    return sum_samples(response.body.decode())


def sum_samples(text: str) -> Totals:
    """
    Sum the samples of each name over their labels.

    :param text: metrics in the Prometheus exposition format
    :return: values by sample name
    """
    totals: Totals = Counter()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            totals[sample.name] += sample.value  # type: ignore[assignment]
    return totals


async def is_ready(admin: Address) -> bool:
    """
    Check whether an entry host is ready for requests, as a balancer does.

    :param admin: address of the host's operator API
    :return: whether the host is ready; False when it does not answer
    """
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        await client.fetch(f"http://{admin[0]}:{admin[1]}/ready")
    except (HTTPClientError, OSError):
        return False
    finally:
        client.close()
    return True
