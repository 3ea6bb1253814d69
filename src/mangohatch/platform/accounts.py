"""Reads client accounts from the configuration and from requests."""

import math
import re
from collections.abc import Iterable
from typing import Any

import structlog
from tornado.httputil import HTTPHeaders

from mangohatch.core.accounts import Account, digest_key
from mangohatch.errors import KeyRejected
from mangohatch.platform.values import DocumentError, describe

__all__ = [
    "TENANT",
    "check_accounts",
    "read_account",
    "read_key",
    "remove_identity",
    "replace_keys",
]

TENANT = "Tenant"
AUTHORIZATION = "Authorization"
ACCOUNTS = "tenants"
KEYS = "api_keys"
DIGESTS = "key_digests"
FIELDS = frozenset({"priority", "rate_per_s", "burst", "allowed_regions"})
MALFORMED = "malformed"
MAX_KEY_CHARACTERS = 512
MAX_NAME_CHARACTERS = 128
KEY = re.compile(r"[A-Za-z0-9\-._~+/]+=*")  # ``b64token`` of RFC 6750
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
DIGEST = re.compile(r"[0-9a-f]{64}")
CREDENTIALS = re.compile(r"bearer +([^ ]+)", re.IGNORECASE)
KEY_EXPECTED = f"1 to {MAX_KEY_CHARACTERS} letters, digits and -._~+/ with = at the end"

log = structlog.get_logger()


def replace_keys(document: Any) -> Any:
    """
    Replace the keys in a configuration by their digests.

    Entries of accounts keep the known fields only, so that a key under a misspelt name
    is not passed on.

    :param document: the decoded configuration, which is not changed
    :return: the configuration with digests; the same object if it holds no account
    """
    if isinstance(document, list):
        items = [replace_keys(item) for item in document]
        changed = any(new is not old for new, old in zip(items, document, strict=True))
        return items if changed else document
    if not isinstance(document, dict):
        return document
    spec = document.get("spec")
    if document.get("type") == ACCOUNTS and isinstance(spec, dict):
        known = {name: value for name, value in spec.items() if name in FIELDS}
        return document | {"spec": known | {DIGESTS: digest_keys(spec.get(KEYS))}}
    fields = {name: replace_keys(value) for name, value in document.items()}
    if KEYS in fields:
        fields[DIGESTS] = digest_keys(fields.pop(KEYS))
        return fields
    changed = any(fields[name] is not document[name] for name in document)
    return fields if changed else document


def digest_keys(keys: Any) -> Any:
    """
    Return the digests of the keys of an account.

    :param keys: value of the field, a list of strings if it is correct
    :return: a digest for each key, ``malformed`` for one that is none; ``malformed``
        if it is not a list
    """
    if not isinstance(keys, list):
        return MALFORMED
    return [digest_key(key).hex() if is_key(key) else MALFORMED for key in keys]


def is_key(key: Any) -> bool:
    """
    Return whether a value can be a key.

    :param key: the value
    :return: whether it is a string of the characters of a key
    """
    if not isinstance(key, str) or len(key) > MAX_KEY_CHARACTERS:
        return False
    return KEY.fullmatch(key) is not None


def read_account(name: str, spec: dict[str, Any]) -> Account:
    """
    Read an account.

    :param name: name of the account
    :param spec: fields of the account, with digests instead of keys
    :return: the account
    :raises DocumentError: if the name or a field is malformed
    """
    if TOKEN.fullmatch(name) is None or len(name) > MAX_NAME_CHARACTERS:
        raise DocumentError(
            f"account name {name[:MAX_NAME_CHARACTERS]!r}, expected a token of 1 to"
            f" {MAX_NAME_CHARACTERS} characters"
        )
    burst = read_number(name, spec, "burst")
    if 0.0 < burst < 1.0:
        raise make_error(name, "burst", burst, "0 for none, or 1 or more")
    priority = spec.get("priority", 0)
    if not isinstance(priority, int) or isinstance(priority, bool) or priority < 0:
        raise make_error(name, "priority", priority, "a whole number of 0 or more")
    return Account(
        name=name,
        key_digests=read_digests(name, spec),
        priority=priority,
        per_s=read_number(name, spec, "rate_per_s"),
        burst=burst,
        allowed_regions=read_regions(name, spec.get("allowed_regions")),
    )


def read_digests(name: str, spec: dict[str, Any]) -> frozenset[bytes]:
    """
    Read the digests of the keys of an account.

    An empty list is accepted: it removes the last key, which must not stay valid.

    :param name: name of the account
    :param spec: fields of the account
    :return: the digests
    :raises DocumentError: if there is no list, or a key is malformed
    """
    # A host of an earlier release passes the keys on as it has read them.
    digests = spec.get(DIGESTS) if DIGESTS in spec else digest_keys(spec.get(KEYS))
    if not isinstance(digests, list):
        raise make_error(name, KEYS, "missing or no list", "a list of strings")
    for number, digest in enumerate(digests):
        if not isinstance(digest, str) or DIGEST.fullmatch(digest) is None:
            raise make_error(name, f"{KEYS}[{number}]", MALFORMED, KEY_EXPECTED)
    if not digests:
        log.warning("account_without_keys", account=name, field=KEYS, value="[]")
    return frozenset(bytes.fromhex(digest) for digest in digests)


def read_number(name: str, spec: dict[str, Any], field: str) -> float:
    """
    Read a number of requests.

    :param name: name of the account
    :param spec: fields of the account
    :param field: name of the field
    :return: the number, 0 if the field is missing
    :raises DocumentError: if it is not a finite number of 0 or more
    """
    value = spec.get(field, 0)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise make_error(name, field, value, "a number of 0 or more")
    return float(value)


def read_regions(name: str, value: Any) -> frozenset[str] | None:
    """
    Read the regions in which requests of an account may run.

    :param name: name of the account
    :param value: value of the field, None if it is missing
    :return: names of regions, None for no restriction
    :raises DocumentError: if it is not a list of strings
    """
    if value is None or value == []:
        return None
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise make_error(name, "allowed_regions", value, "a list of names of regions")
    return frozenset(value)


def make_error(name: str, field: str, value: Any, expected: str) -> DocumentError:
    """
    Make the error about a field of an account.

    :param name: name of the account
    :param field: name of the field
    :param value: its value; never a key
    :param expected: what was expected
    :return: the error
    """
    return DocumentError(
        f"account {name!r}: field {field!r} is {describe(value)}, expected {expected}"
    )


def check_accounts(accounts: Iterable[Account]) -> None:
    """
    Check that accounts have different names and keys.

    :param accounts: all accounts of a configuration
    :raises DocumentError: if two accounts have a name or a key in common
    """
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for account in accounts:
        if account.name in names:
            raise DocumentError(
                f"account {account.name!r} is named twice, expected each name once"
            )
        names.add(account.name)
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                raise DocumentError(
                    f"accounts {owner!r} and {account.name!r} have the same key in"
                    f" {KEYS!r}, expected each key in one account"
                )


def read_key(headers: HTTPHeaders) -> bytes:
    """
    Read the key that a request bears.

    :param headers: header fields of the request
    :return: digest of the key
    :raises KeyRejected: if there is no key, more than one, or a malformed one
    """
    values = headers.get_list(AUTHORIZATION)
    if not values:
        raise KeyRejected("the request bears no key", cause="missing")
    if len(values) > 1:
        raise KeyRejected("the request bears more than one key", cause="repeated")
    match = CREDENTIALS.fullmatch(values[0])
    if match is None or not is_key(match[1]):
        raise KeyRejected("the request bears no well-formed key", cause="malformed")
    return digest_key(match[1])


def remove_identity(headers: HTTPHeaders) -> None:
    """
    Remove the caller's key and the name that it claims, in place.

    :param headers: header fields of the request
    """
    for name in (AUTHORIZATION, TENANT):
        if name in headers:
            del headers[name]
