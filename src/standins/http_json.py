"""Requests to stand-ins that are answered in JSON."""

import asyncio
import json
from typing import Any

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from standins.processes import LOOPBACK, ProcessError

__all__ = ["fetch_json"]

MAX_TRIES = 20
RETRY_DELAY_MS = 250.0


async def fetch_json(
    port: int, path: str, *, parse: bool = True, **options: Any
) -> dict[str, Any]:
    """
    Talk to a stand-in; one that is down gets time to return.

    :param port: its port
    :param path: path and query
    :param parse: whether the answer is JSON
    :param options: options of the HTTP client
    :return: the JSON answer, empty without one
    :raises ProcessError: when no answer comes
    """
    client = SimpleAsyncHTTPClient(force_instance=True)
    url = f"http://{LOOPBACK}:{port}{path}"
    try:
        for _ in range(MAX_TRIES):
            try:
                response = await client.fetch(url, **options)
            except (HTTPClientError, OSError):
                await asyncio.sleep(RETRY_DELAY_MS / 1000)
                continue
            return json.loads(response.body or b"{}") if parse else {}
    finally:
        client.close()
    raise ProcessError(f"no answer from port {port} for {path}")
