"""HTTP calls to the platform, and the errors that their failures map to."""

import socket
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httputil import HTTPHeaders

from mangohatch.errors import StoreRateLimited, StoreUnavailable
from mangohatch.wire import FIRST_FINAL_CODE

__all__ = ["CallUnanswered", "HttpCaller", "HttpReply"]

ROLE_HEADER = "X-Caller-Role"
MAX_CONCURRENT_CALLS = 200
MAX_REPLY_BYTES = 64 * 1024 * 1024
DEFAULT_RETRY_AFTER_MS = 1000.0
RATE_LIMITED = 429
FIRST_SERVER_ERROR = 500
MS_PER_S = 1000.0


class CallUnanswered(StoreUnavailable):
    """A call was or may have been sent, and no usable response was received."""

    code = "store_call_unanswered"


@dataclass(slots=True, kw_only=True, frozen=True)
class HttpReply:
    """A response with a status from 200 to 499, other than 429."""

    status: int
    body: bytes
    headers: HTTPHeaders


class HttpCaller:
    """
    Makes calls to one address of the platform.

    :param address: IP address of the platform service
    :param port: TCP port of the platform service
    :param role: caller role under which the platform counts the calls, empty for none
    :param timeout_ms: timeout of a whole call in milliseconds
    """

    def __init__(
        self, *, address: str, port: int, role: str = "", timeout_ms: float
    ) -> None:
        self.base_url = f"http://{address}:{port}"
        self.headers = HTTPHeaders({ROLE_HEADER: role} if role else {})
        self._timeout_s = timeout_ms / MS_PER_S
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_CALLS,
            max_body_size=MAX_REPLY_BYTES,
        )

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> HttpReply:
        """
        Make a call.

        :param method: HTTP method
        :param path: path and query
        :param body: request body, None for a request without a body
        :return: the response
        :raises StoreRateLimited: the platform refused the call before any effect
        :raises CallUnanswered: the call may have taken effect
        :raises StoreUnavailable: no connection could be opened
        """
        req = HTTPRequest(
            self.base_url + path,
            method=method,
            headers=self.headers,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(req, raise_error=False)
        except (ConnectionRefusedError, socket.gaierror) as exc:
            raise StoreUnavailable(f"{method} {path}: {exc}") from exc
        except (HTTPError, OSError) as exc:
            raise CallUnanswered(f"{method} {path}: {exc}") from exc
        if response.code == RATE_LIMITED:
            raise StoreRateLimited(
                f"{method} {path}", retry_after_ms=read_retry_after(response.headers)
            )
        if not FIRST_FINAL_CODE <= response.code < FIRST_SERVER_ERROR:
            raise CallUnanswered(f"{method} {path}: status {response.code}")
        return HttpReply(
            status=response.code,
            body=response.body or b"",
            headers=response.headers,
        )

    def close(self) -> None:
        """Close the HTTP client."""
        self._client.close()


def read_retry_after(headers: HTTPHeaders) -> float:
    """
    Read the delay that the platform requests before the next call.

    :param headers: header fields of a response with status 429
    :return: delay in milliseconds, a default when the field is missing or malformed
    """
    try:
        return float(headers.get("Retry-After", "")) * MS_PER_S
    except ValueError:
        return DEFAULT_RETRY_AFTER_MS
