"""Reads the era of the platform's store from its answers."""

import structlog
from tornado.httputil import HTTPHeaders

from mangohatch.directory.version import MAX_ERA
from mangohatch.errors import StoreRejected
from mangohatch.platform.values import describe

__all__ = ["EraReader"]

ERA_FIELD = "Store-Era"
MAX_DIGITS = len(str(MAX_ERA))

log = structlog.get_logger()


class EraReader:
    """
    Reads the field that rises by one when the store comes back from an older copy.

    A store need not name its era; one that has done so names it in all answers, and it
    never falls. An answer that breaks this is refused, so nothing in force changes.
    """

    def __init__(self) -> None:
        self._era: int | None = None
        self._logged: str | None = None

    def read(self, headers: HTTPHeaders) -> int | None:
        """
        Read the era of an answer.

        :param headers: header fields of the answer
        :return: the era, None if the store does not name it
        :raises StoreRejected: if the era is malformed, has fallen, or is missing
            although an earlier answer had it
        """
        text = headers.get(ERA_FIELD)
        if text is None and self._era is None:
            return None
        era = parse_era(text or "")
        least = self._era or 0
        if not least <= era:
            self._refuse(text, least)
        self._era = era
        return era

    def _refuse(self, text: str | None, least: int) -> None:
        value = describe(text)
        if value != self._logged:
            self._logged = value
            log.warning("store_era_invalid", value=value, least=least, most=MAX_ERA)
        raise StoreRejected(
            f"header {ERA_FIELD} is {value}, expected a number from {least} to"
            f" {MAX_ERA}"
        )


def parse_era(text: str) -> int:
    """
    Parse an era.

    :param text: value of the header field
    :return: the number, -1 if it is none from 0 to ``MAX_ERA``
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return -1
    era = int(text)
    return era if era <= MAX_ERA else -1
