"""Decodes lists of objects as the platform's store sends them."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from mangohatch.platform.json_text import Undecoded, decode_json, scan_object
from mangohatch.platform.values import (
    DocumentError,
    check_name,
    check_whole,
    require_field,
)
from mangohatch.store.base import UNNAMED, StoredObject

__all__ = ["EMPTY_KINDS", "ListPage", "RejectedObject", "decode_object", "decode_page"]

# The names of objects of these kinds say everything, so they need no content.
EMPTY_KINDS = frozenset({"evacuations"})
MAX_REVISION = 2**62


@dataclass(slots=True, kw_only=True, frozen=True)
class RejectedObject:
    """An object that can't be used; ``name`` is empty if it can't be read either."""

    name: str
    revision: int
    cause: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ListPage:
    """
    A page of a list of objects.

    ``last_name`` is the name of its last object that has one, as the store wrote it,
    whether the object is usable or not; empty if none has.
    """

    items: Sequence[StoredObject]
    rejected: Sequence[RejectedObject]
    revision: int
    has_more: bool
    last_name: bytes


def decode_page(kind: str, body: bytes) -> ListPage:
    """
    Decode a page of a list.

    A page with an object that can't be decoded is decoded object by object.

    :param kind: kind of the objects
    :param body: the JSON text
    :return: the page, with the objects that can't be used listed apart
    :raises DocumentError: if the page itself can't be read
    """
    encoding_errors = "surrogatepass"  # of names with escaped surrogates
    try:
        fields = decode_json(body)
    except DocumentError:
        encoding_errors = "surrogateescape"
        text = body.decode(errors=encoding_errors)
        fields = scan_object(text, arrays=("items",))
    elements = require_field(fields, "items", list)
    items: list[StoredObject] = []
    rejected: list[RejectedObject] = []
    for element in elements:
        item_fields = element
        try:
            if isinstance(element, Undecoded):
                item_fields = scan_object(element.text)
            item = decode_object(kind, item_fields)
        except DocumentError as exc:
            name, revision = identify(item_fields)
            rejected.append(
                RejectedObject(name=name, revision=revision, cause=str(exc))
            )
        else:
            items.append(item)
    return ListPage(
        items=items,
        rejected=rejected,
        revision=check_whole(
            "store_revision", fields.get("store_revision"), 0, MAX_REVISION
        ),
        has_more=require_field(fields, "has_more", bool),
        last_name=encode_name(find_last_name(elements), encoding_errors),
    )


def decode_object(kind: str, fields: Any) -> StoredObject:
    """
    Build a stored object from its JSON form.

    The ``spec`` field holds the content that an operator or an upstream has written.

    :param kind: kind of the object
    :param fields: the decoded object; a member that can't be decoded is
        :class:`Undecoded`
    :return: the object
    :raises DocumentError: if the name, the revision or the content is missing or
        malformed
    """
    metadata = require_field(fields, "metadata", dict)
    if kind in EMPTY_KINDS:
        name = require_field(metadata, "name", str)
    else:
        name = check_name("metadata.name", metadata.get("name"))
        if "spec" not in fields or isinstance(fields["spec"], Undecoded):
            raise DocumentError(
                "field 'spec' is missing or can't be decoded, expected JSON"
            )
    revision = check_whole(
        "metadata.revision", metadata.get("revision"), 0, MAX_REVISION
    )
    return StoredObject(
        kind=kind,
        name=name,
        revision=revision,
        value=fields.get("spec"),
        created=read_created(metadata, revision),
    )


def find_last_name(elements: Sequence[Any]) -> str:
    """
    Return the name of the last object of a page that has one.

    :param elements: the decoded objects, or what stands in their places
    :return: the name, empty if none has one
    """
    return next(filter(None, map(find_name, reversed(elements))), UNNAMED)


def find_name(element: Any) -> str:
    """
    Return the name of an object, whether this host can use it or not.

    :param element: the decoded object, or what stands in its place
    :return: the name, empty if there is nothing that could be one
    """
    metadata = find_member(element, "metadata")
    name = find_member(metadata, "name")
    return name if isinstance(name, str) else UNNAMED


def find_member(fields: Any, key: str) -> Any:
    """
    Return a member of an object, also of one that can't be decoded as a whole.

    :param fields: the object, or what stands in its place
    :param key: key of the member
    :return: the value, None if there is none
    """
    if isinstance(fields, Undecoded):
        try:
            fields = scan_object(fields.text)
        except DocumentError:
            return None
    return fields.get(key) if isinstance(fields, dict) else None


def encode_name(name: str, errors: str) -> bytes:
    """
    Encode a name to the bytes that the store sent.

    :param name: the name
    :param errors: how surrogates are encoded
    :return: its bytes
    """
    try:
        return name.encode(errors=errors)
    except UnicodeEncodeError:
        return name.encode(errors="surrogatepass")


def read_created(metadata: dict[str, Any], revision: int) -> int | None:
    """
    Return the revision at which an object was created.

    :param metadata: metadata of the object
    :param revision: revision of its last change
    :return: the revision, None if the field is missing or no earlier revision
    """
    created = metadata.get("created")
    if not isinstance(created, int) or isinstance(created, bool):
        return None
    return created if 0 <= created <= revision else None


def identify(fields: Any) -> tuple[str, int]:
    """
    Return the name and the revision of an object that can't be used.

    :param fields: the decoded object, or what stands in its place
    :return: the name, empty if it can't be read, and the revision, 0 if it can't
    """
    try:
        metadata = require_field(fields, "metadata", dict)
        name = check_name("metadata.name", metadata.get("name"))
    except DocumentError:
        return UNNAMED, 0
    revision = metadata.get("revision")
    return name, revision if isinstance(revision, int) else 0
