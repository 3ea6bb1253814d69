"""Counts of measuring calls and one-way messages."""

from dataclasses import dataclass

__all__ = ["MeasuringCounter"]


@dataclass(slots=True, kw_only=True)
class MeasuringCounter:
    """
    Measuring traffic of one host for one service.

    A call is a message that expects a response: a probe or a request for slots. A
    response, a return or a renewal is a one-way message.
    """

    requests: int = 0
    calls: int = 0
    call_bytes: int = 0
    messages: int = 0
    message_bytes: int = 0
    denied: int = 0

    def count_call(self, size_bytes: int) -> None:
        """
        Count a call.

        :param size_bytes: size of the call on the wire
        """
        self.calls += 1
        self.call_bytes += size_bytes

    def count_message(self, size_bytes: int) -> None:
        """
        Count a one-way message.

        :param size_bytes: size of the message on the wire
        """
        self.messages += 1
        self.message_bytes += size_bytes
