"""Messages between hosts, with the fields of ``peer.thrift``, grouped by subject."""

from mangohatch.peer.messages.kinds import KINDS, message

__all__ = ["KINDS", "message"]
