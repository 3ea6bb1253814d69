"""The HTTP server for operators, probes and scrapers."""

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
    """What the handlers need."""

    interpreter: Interpreter
    not_ready: Callable[[], str | None]
    metrics: Callable[[], bytes]
    metrics_type: str


class AdminHandler(RequestHandler):
    """Base of the handlers."""

    def initialize(self, parts: AdminParts) -> None:
        """
        Take the parts.

        :param parts: what the handlers need
        """
        self.parts = parts

    def set_default_headers(self) -> None:
        self.clear_header("Server")
        self.set_header("Cache-Control", "no-store")


class QueryHandler(AdminHandler):
    """Carries out the sentence in the body."""

    async def post(self) -> None:
        """Answer with a :class:`Reply` as JSON."""
        text = self.request.body.decode("utf-8", errors="replace")
        order_id = self.request.headers.get(ORDER_ID_HEADER, "")
        reply = await self.parts.interpreter.run(text, order_id=order_id)
        self.set_status(choose_status(reply))
        self.set_header("Content-Type", "application/json")
        self.finish(reply.model_dump_json(exclude_defaults=True))


class LiveHandler(AdminHandler):
    """Tells that the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.finish("live\n")


class ReadyHandler(AdminHandler):
    """Tells whether the host may get requests."""

    def get(self) -> None:
        """Answer 200, or 503 with the reason."""
        reason = self.parts.not_ready()
        if reason is not None:
            self.set_status(503)
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(f"{reason or 'ready'}\n")


class MetricsHandler(AdminHandler):
    """Gives the metrics of this host."""

    def get(self) -> None:
        """Answer in the exposition format."""
        self.set_header("Content-Type", self.parts.metrics_type)
        self.finish(self.parts.metrics())


def choose_status(reply: Reply) -> int:
    """
    Choose the HTTP status of an answer.

    :param reply: the answer
    :return: 200; 202 while an order is pending; 400 or 409 where it is refused
    """
    if reply.kind is ReplyKind.ORDER and reply.order is not None:
        return ORDER_STATUS.get(reply.order.state, PENDING_STATUS)
    if reply.error is not None:
        return 400 if reply.error.code == "sentence_invalid" else 409
    return 200


def ignore_request(handler: RequestHandler) -> None:
    """
    Log nothing of a request.

    :param handler: the handler that ended
    """


class AdminServer:
    """
    Serves ``/query``, ``/live``, ``/ready`` and ``/metrics``.

    :param interpreter: carries out sentences
    :param not_ready: why this host is not ready, None when it is
    :param metrics: renders the metrics
    :param metrics_type: content type of the metrics
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
        Listen for operators.

        :param address: IP address
        :param port: TCP port
        :raises OSError: when the address cannot be listened on
        """
        self._server.listen(port, address)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()
