"""Messages about permits for requests of client accounts."""

from mangohatch.peer.messages.kinds import message

__all__ = ["QuotaAnswer", "QuotaRequest", "QuotaReturn"]


@message
class QuotaRequest:
    """
    A host asks the owner of an account's quota for permits.

    ``members`` is the number of members that the sender expects; the owner may have
    started while a part of the fleet was out of reach. ``count`` is 1 for a request
    that waits, 0 for none. ``ahead`` permits would be held for the next requests, and
    ``used`` of those held have been used since the last message.
    """

    account: str = ""
    number: int = 0
    members: int = 0
    count: int = 0
    ahead: int = 0
    used: int = 0


@message
class QuotaAnswer:
    """
    The owner permits the request, or tells after which time there will be a token.

    ``settling`` is set by an owner that has just taken over; the host may then wait for
    the token, as the account need not be above its quota. ``ahead`` permits may be held
    for the next requests.
    """

    account: str = ""
    number: int = 0
    granted: bool = False
    wait_ms: int = 0
    settling: bool = False
    ahead: int = 0


@message
class QuotaReturn:
    """A host returns a permit for a request that has certainly not run."""

    account: str = ""
