"""HTTP server for the readiness and metrics pages."""

from collections.abc import Callable, Mapping

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

__all__ = ["TextResponse", "TextServer"]

NOT_FOUND = 404
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}

TextResponse = tuple[int, str]


class TextServer:
    """
    Serves short plain-text pages.

    :param pages: functions by path; each returns the status and text of the response
    """

    def __init__(self, *, pages: Mapping[str, Callable[[], TextResponse]]) -> None:
        self._pages = pages
        self._server = HTTPServer(self._answer)

    def listen(self, address: str, port: int) -> None:
        """
        Start accepting connections.

        :param address: IP address to bind
        :param port: TCP port to bind
        """
        self._server.listen(port, address)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop()

    def _answer(self, request: HTTPServerRequest) -> None:
        page = self._pages.get(request.path)
        status, text = page() if page is not None else (NOT_FOUND, "")
        body = text.encode()
        headers = HTTPHeaders(
            {"Content-Type": "text/plain", "Content-Length": str(len(body))}
        )
        conn = request.connection
        assert conn is not None
        line = ResponseStartLine("HTTP/1.1", status, REASONS[status])
        conn.write_headers(line, headers, body)
        conn.finish()
