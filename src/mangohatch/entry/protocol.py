"""The interface to the header fields that callers and upstreams use."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, RequestStartLine

from mangohatch.core.call import Call, Report
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.errors import Outcome, RequestError
from mangohatch.upstream.connection import ResponseHead

if TYPE_CHECKING:
    from mangohatch.entry.active import ActiveRequest

__all__ = ["ErrorResponse", "ProtocolAdapter"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ErrorResponse:
    """Status, header fields and body of an answer that an entry host gives itself."""

    status: int
    headers: HTTPHeaders
    body: bytes


class ProtocolAdapter(ABC):
    """
    Reads and writes what requests and responses say beside their content.

    ``allows_unframed`` tells whether a response may end with its connection.
    ``max_buffered_bytes`` is the size up to which a response is kept until it is
    whole, so that one that breaks off can be asked for again.
    """

    allows_unframed = False
    max_buffered_bytes = 0

    @abstractmethod
    def read_request_id(self, headers: HTTPHeaders) -> str:
        """
        Read the id that the caller gave its request.

        :param headers: header fields of the request
        :return: the id; empty when there is none or it is malformed
        """

    @abstractmethod
    def make_call(
        self,
        *,
        line: RequestStartLine,
        headers: HTTPHeaders,
        request_id: str,
        caller: str,
        tables: Tables,
        now_ms: float,
    ) -> Call:
        """
        Make the call of a request.

        :param line: request line
        :param headers: header fields
        :param request_id: id of the request
        :param caller: IP address of the caller
        :param tables: services and routes in force
        :param now_ms: time of arrival
        :return: the call
        :raises NoRoute: when no service serves the path
        :raises BadRequest: when a header field is malformed
        """

    @abstractmethod
    def prepare_headers(self, req: "ActiveRequest") -> None:
        """
        Turn received header fields into those sent upstream, and identify resends.

        :param req: a request whose body is whole or whose kept beginning is full
        :raises BadRequest: when the body can't be framed for the upstream
        """

    @abstractmethod
    def set_attempt_headers(
        self, req: "ActiveRequest", upstream: UpstreamRow, remaining_ms: float
    ) -> None:
        """
        Set the header fields that belong to one attempt.

        :param req: the request
        :param upstream: where the attempt goes
        :param remaining_ms: time until the deadline, more than 0
        """

    @abstractmethod
    def matches_request(self, head: ResponseHead, request_id: str) -> bool:
        """
        Tell whether a response answers a request.

        :param head: head of the response
        :param request_id: id of the request
        :return: False when it answers another one
        """

    @abstractmethod
    def is_not_run(self, head: ResponseHead) -> bool:
        """
        Tell whether an upstream states that it did not run the request.

        :param head: head of its response
        :return: whether it does
        """

    @abstractmethod
    def check_response(self, head: ResponseHead) -> None:
        """
        Check that a response comes from the upstream's program.

        :param head: head of a response to a request that may have run
        :raises RequestError: when the caller must not take it for an answer
        """

    @abstractmethod
    def read_upstream_state(self, head: ResponseHead, report: Report) -> None:
        """
        Take what a response says of its upstream.

        :param head: head of the response
        :param report: filled with load and drain state
        """

    @abstractmethod
    def finalize_response(self, head: ResponseHead, request_id: str) -> Outcome:
        """
        Turn the header fields of a response into those that the caller gets.

        :param head: head of the response
        :param request_id: id of the request
        :return: what the response says of the execution
        """

    @abstractmethod
    def make_error(self, error: RequestError, request_id: str) -> ErrorResponse:
        """
        Make the answer to a request that failed.

        :param error: the failure
        :param request_id: id of the request
        :return: the whole answer
        """
