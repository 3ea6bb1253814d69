"""Versions of the directory, which rise also when the store goes back."""

__all__ = ["MAX_ERA", "era_of", "format_version", "make_version", "revision_of"]

# Messages carry versions as signed numbers of 64 bits.
REVISION_BITS = 52
MAX_REVISION = 2**REVISION_BITS - 1
MAX_ERA = 2 ** (63 - REVISION_BITS) - 1


def make_version(era: int, revision: int) -> int:
    """
    Return the version of a reading; it is the revision itself in era 0.

    Eras count how often the store came back from an older copy. Revisions beyond
    ``MAX_REVISION`` leave no room for an era, so they are taken as they are.

    :param era: number of the era, 0 to ``MAX_ERA``
    :param revision: revision of the store
    :return: a number that orders by era first and by revision then
    """
    if revision > MAX_REVISION:
        return revision
    return min(era, MAX_ERA) << REVISION_BITS | revision


def era_of(version: int) -> int:
    """
    Return the era of a version.

    :param version: result of :func:`make_version`
    :return: number of the era
    """
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """
    Return the revision of the store in a version.

    :param version: result of :func:`make_version`
    :return: revision of the store
    """
    return version & MAX_REVISION


def format_version(version: int) -> int | str:
    """
    Format a version for the log.

    :param version: result of :func:`make_version`
    :return: the revision, with the era before it unless that is 0
    """
    era = era_of(version)
    return f"{era}:{revision_of(version)}" if era else version
