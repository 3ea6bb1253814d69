"""The HTTP server of the operator API, which also serves probes and scrapers."""

from collections.abc import Callable
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from mangohatch.admin.interpreter import Interpreter
from mangohatch.admin.reply import Reply, ReplyKind
from mangohatch.orders.record import OrderState

__all__ = ["AdminServer"]

MAX_SENTENCE_BYTES = 2 * 1024 * 1024
ORDER_ID_HEADER = "X-Order-Id"
ORDER_STATUS = {
    str(OrderState.ACCEPTED): 200,
    str(OrderState.REFUSED): 409,
}
PENDING_STATUS = 202


@dataclass(slots=True, kw_only=True)
class AdminParts:
    """Dependencies of the request handlers."""

    interpreter: Interpreter
    not_ready: Callable[[], str | None]
    metrics: Callable[[], bytes]
    metrics_type: str


class AdminHandler(RequestHandler):
    """Base class of the request handlers."""

    def initialize(self, parts: AdminParts) -> None:
        """
        Store the dependencies; called by tornado for each request.

        :param parts: dependencies of the handler
        """
        self.parts = parts

    def set_default_headers(self) -> None:
        self.clear_header("Server")
        self.set_header("Cache-Control", "no-store")


class QueryHandler(AdminHandler):
    """Executes the sentence in the request body."""

    async def post(self) -> None:
        """Respond with a :class:`Reply` as JSON."""
        text = self.request.body.decode("utf-8", errors="replace")
        order_id = self.request.headers.get(ORDER_ID_HEADER, "")
        reply = await self.parts.interpreter.run(text, order_id=order_id)
        self.set_status(choose_status(reply))
        self.set_header("Content-Type", "application/json")
        self.finish(reply.model_dump_json(exclude_defaults=True))


class LiveHandler(AdminHandler):
    """Liveness probe: reports that the process is running."""

    def get(self) -> None:
        """Respond with status 200."""
        self.finish("live\n")


class ReadyHandler(AdminHandler):
    """Readiness probe: reports whether the host accepts requests."""

    def get(self) -> None:
        """Respond with status 200, or 503 and the reason."""
        reason = self.parts.not_ready()
        if reason is not None:
            self.set_status(503)
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(f"{reason or 'ready'}\n")


class MetricsHandler(AdminHandler):
    """Serves the metrics of this host."""

    def get(self) -> None:
        """Respond with the metrics in the exposition format."""
        self.set_header("Content-Type", self.parts.metrics_type)
        self.finish(self.parts.metrics())


def choose_status(reply: Reply) -> int:
    """
    Choose the HTTP status of a reply.

    :param reply: the reply
    :return: 200 on success, 202 for a pending order, 400 for an invalid sentence,
        409 for a refused order or any other error
    """
    if reply.kind is ReplyKind.ORDER and reply.order is not None:
        return ORDER_STATUS.get(reply.order.state, PENDING_STATUS)
    if reply.error is not None:
        return 400 if reply.error.code == "sentence_invalid" else 409
    return 200


def ignore_request(handler: RequestHandler) -> None:
    """
    Discard the access log line of a request.

    :param handler: handler of the request
    """


class AdminServer:
    """
    Serves ``/query``, ``/live``, ``/ready`` and ``/metrics``.

    :param interpreter: executes sentences
    :param not_ready: returns why this host is not ready, None when it is ready
    :param metrics: renders the metrics
    :param metrics_type: content type of the rendered metrics
    """

    def __init__(
        self,
        *,
        interpreter: Interpreter,
        not_ready: Callable[[], str | None],
        metrics: Callable[[], bytes] = lambda: b"",
        metrics_type: str = "text/plain; charset=utf-8",
    ) -> None:
        parts = AdminParts(
            interpreter=interpreter,
            not_ready=not_ready,
            metrics=metrics,
            metrics_type=metrics_type,
        )
        arguments = {"parts": parts}
        routes = [
            ("/query", QueryHandler, arguments),
            ("/live", LiveHandler, arguments),
            ("/ready", ReadyHandler, arguments),
            ("/metrics", MetricsHandler, arguments),
        ]
        application = Application(routes, log_function=ignore_request)
        self._server = HTTPServer(application, max_body_size=MAX_SENTENCE_BYTES)

    def listen(self, address: str, port: int) -> None:
        """
        Start to accept connections.

        :param address: IP address to listen on
        :param port: TCP port to listen on
        :raises OSError: when the address cannot be listened on
        """
        self._server.listen(port, address)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
