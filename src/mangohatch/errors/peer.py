"""Errors of connections between entry hosts."""

from mangohatch.errors.base import ExitCode, MangohatchError

__all__ = ["PeerProtocolError", "UnknownMessageKind"]


class PeerProtocolError(MangohatchError):
    """The bytes received from a peer do not form a known message."""

    code = "peer_protocol"
    exit_code = ExitCode.UNREACHABLE


class UnknownMessageKind(PeerProtocolError):
    """A peer sent a message of a kind that this version does not have."""
