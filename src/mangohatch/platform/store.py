"""HTTP client of the platform's store."""

from collections.abc import Sequence
from urllib.parse import quote

import structlog

from mangohatch.errors import StoreRejected
from mangohatch.platform.era import EraReader
from mangohatch.platform.json_text import decode_json
from mangohatch.platform.listing import (
    ListPage,
    RejectedObject,
    decode_object,
    decode_page,
)
from mangohatch.platform.values import DocumentError
from mangohatch.store import Listing, ObjectReader, StoredObject
from mangohatch.store.http_call import CallUnanswered, HttpCaller, HttpReply

__all__ = ["PlatformStore"]

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
OBJECTS = "/mangohatch/objects"
WATCH_WAIT_MS = 30_000  # the longest that the platform allows

log = structlog.get_logger()


class PlatformStore(ObjectReader):
    """
    Read-only HTTP client of the platform's store.

    :param address: IP address and port of the store
    :param timeout_ms: timeout of one call in milliseconds
    """

    def __init__(self, *, address: tuple[str, int], timeout_ms: float) -> None:
        host, port = address
        self._caller = HttpCaller(address=host, port=port, timeout_ms=timeout_ms)
        self._watcher = HttpCaller(
            address=host, port=port, timeout_ms=WATCH_WAIT_MS + timeout_ms
        )
        self._eras = EraReader()
        # Objects that were logged as unusable, by kind.
        self._logged: dict[str, set[RejectedObject]] = {}

    async def get(self, kind: str, name: str) -> StoredObject | None:
        path = f"{OBJECTS}/{quote(kind, safe='')}/{quote(name, safe='')}"
        reply = await self._caller.call("GET", path)
        if reply.status == NOT_FOUND:
            return None
        check_status(reply)
        try:
            return decode_object(kind, decode_json(reply.body))
        except DocumentError as exc:
            raise CallUnanswered(f"malformed object {kind}/{name}: {exc}") from exc

    async def list(self, kind: str) -> Listing:
        path = f"{OBJECTS}/{quote(kind, safe='')}"
        pages: list[ListPage] = []
        eras: set[int | None] = set()
        query = ""
        last_names = {b""}
        while True:
            reply = await self._caller.call("GET", path + query)
            check_status(reply)
            try:
                page = decode_page(kind, reply.body)
            except DocumentError as exc:
                raise CallUnanswered(
                    f"malformed list of {kind} objects: {exc}"
                ) from exc
            pages.append(page)
            eras.add(self._eras.read(reply.headers))
            if not page.has_more or not (page.items or page.rejected):
                break
            if page.last_name in last_names:
                raise CallUnanswered(
                    f"a page of {kind} objects ends with the name {page.last_name!r},"
                    " expected one after those of the pages before"
                )
            last_names.add(page.last_name)
            query = f"?after={quote(page.last_name, safe='')}"
        if len(eras) > 1:
            raise StoreRejected(f"pages of {kind} objects are of several eras")
        rejected = [item for page in pages for item in page.rejected]
        self._log_rejected(kind, rejected)
        # Later pages may be read at a newer revision. The list as a whole is only
        # known to be current as of the first page.
        return Listing(
            items=[item for page in pages for item in page.items],
            revision=pages[0].revision,
            unreadable=frozenset(item.name for item in rejected),
            era=eras.pop(),
        )

    def _log_rejected(self, kind: str, rejected: Sequence[RejectedObject]) -> None:
        known = self._logged.get(kind, set())
        self._logged[kind] = set(rejected)
        for item in rejected:
            if item not in known:
                log.warning(
                    "object_unreadable",
                    kind=kind,
                    name=item.name,
                    revision=item.revision,
                    cause=item.cause,
                )

    async def watch(self, kind: str, revision: int) -> None:
        """
        Wait until an object of a kind may have changed, for 30 s at most.

        :param kind: kind of object
        :param revision: revision of the store after which changes count
        :raises StoreError: if the call failed
        """
        path = f"{OBJECTS}/{quote(kind, safe='')}"
        query = f"?watch={revision}&wait_ms={WATCH_WAIT_MS}"
        reply = await self._watcher.call("GET", path + query)
        if reply.status >= BAD_REQUEST:
            raise StoreRejected(f"status {reply.status}")


def check_status(reply: HttpReply) -> None:
    """
    Check that a call has succeeded.

    :param reply: the response
    :raises StoreRejected: if the status is not 200
    """
    if reply.status != OK:
        raise StoreRejected(f"status {reply.status}")
