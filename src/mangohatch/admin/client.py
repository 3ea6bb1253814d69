"""HTTP client that sends sentences of the operators' language to a host."""

import asyncio

from pydantic import ValidationError
from tornado.httpclient import AsyncHTTPClient, HTTPError

from mangohatch.admin.render import render
from mangohatch.admin.reply import Reply
from mangohatch.errors import HostUnanswered

__all__ = ["fetch_reply", "query", "render"]

TIMEOUT_S = 20.0
ORDER_ID_HEADER = "X-Order-Id"


def query(address: str, text: str, *, order_id: str = "") -> Reply:
    """
    Send a sentence to an entry host and block until the reply arrives.

    :param address: ``address:port`` of the host's operator API
    :param text: the sentence
    :param order_id: id that lets an order be sent again, empty for a new id
    :return: the reply
    :raises HostUnanswered: when the host sends no valid reply in time
    """
    return asyncio.run(fetch_reply(address, text, order_id=order_id))


async def fetch_reply(address: str, text: str, *, order_id: str = "") -> Reply:
    """
    Send a sentence to an entry host.

    :param address: ``address:port`` of the host's operator API
    :param text: the sentence
    :param order_id: id that lets an order be sent again, empty for a new id
    :return: the reply
    :raises HostUnanswered: when the host sends no valid reply in time
    """
    client = AsyncHTTPClient(force_instance=True)
    headers = {"Content-Type": "text/plain; charset=utf-8"}
    if order_id:
        headers[ORDER_ID_HEADER] = order_id
    try:
        response = await client.fetch(
            f"http://{address}/query",
            method="POST",
            headers=headers,
            body=text.encode(),
            raise_error=False,
            request_timeout=TIMEOUT_S,
        )
        return Reply.model_validate_json(response.body or b"")
    except (HTTPError, OSError, ValueError, ValidationError) as exc:
        raise HostUnanswered(f"no answer from {address}: {exc}") from exc
    finally:
        client.close()
