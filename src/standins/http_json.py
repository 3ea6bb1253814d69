"""HTTP requests to stand-ins with JSON responses."""

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
    Send a request to a stand-in, with retries while the stand-in restarts.

    :param port: TCP port on loopback
    :param path: path and query
    :param parse: whether to parse the response as JSON
    :param options: options of the HTTP client
    :return: the JSON document; empty without a body or with ``parse`` off
    :raises ProcessError: when no attempt succeeds
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
    raise ProcessError(f"port {port} did not answer a request for {path}")
