"""Messages between hosts, field by field as in ``peer.thrift``, by who uses them."""

from mangohatch.peer.messages.kinds import KINDS, message

__all__ = ["KINDS", "message"]
