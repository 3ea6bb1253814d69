"""Reads a configuration of the platform for a review, with all of its problems."""

import json
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from mangohatch.core.accounts import digest_key
from mangohatch.platform.accounts import KEY_EXPECTED, is_key
from mangohatch.platform.documents import KNOWN_KINDS
from mangohatch.platform.values import (
    DocumentError,
    parse_duration_ms,
    parse_version,
    require_field,
)
from mangohatch.review import (
    DeclaredAccount,
    DeclaredConfiguration,
    DeclaredRoute,
    DeclaredService,
    Finding,
    Severity,
)

__all__ = ["read_declared"]

NUMBER = (int, float)


def read_declared(text: str) -> DeclaredConfiguration:
    """
    Read a configuration; what can't be read becomes a problem of the result.

    :param text: the configuration, as JSON
    :return: the entries that could be read, and the problems
    """
    reader = DeclaredReader()
    reader.read(text)
    return reader.config


class DeclaredReader:
    """Collects the entries of one configuration and their problems."""

    def __init__(self) -> None:
        self.config = DeclaredConfiguration()

    def read(self, text: str) -> None:
        """
        Read a document.

        :param text: the configuration, as JSON
        """
        try:
            document = json.loads(text)
        except ValueError as exc:
            self._add("not_json", "document", str(exc), "a complete JSON document")
            return
        with self._collect("document"):
            entries = require_field(document, "resources", list)
            with self._collect("version"):
                self.config.version = parse_version(document.get("version"))
                self.config.title = f"version {self.config.version}"
            for number, entry in enumerate(entries):
                place = f"resources[{number}]"
                with self._collect(place):
                    self._read_entry(place, entry)

    def _read_entry(self, place: str, entry: Any) -> None:
        kind = require_field(entry, "type", str)
        spec = require_field(entry, "spec", dict)
        readers: dict[str, Callable[[str, str, dict[str, Any]], None]] = {
            "routes": self._read_route,
            "services": self._read_service,
            "tenants": self._read_account,
        }
        if kind == "limits":
            self._read_limits(place, spec)
        elif kind in readers:
            name = require_field(require_field(entry, "metadata", dict), "name", str)
            readers[kind](place, name, spec)
        else:
            self._add("unknown_type", f"{place}.type", repr(kind), "a known type")

    def _read_route(self, place: str, name: str, spec: dict[str, Any]) -> None:
        kind = spec.get("kind")
        if not isinstance(kind, str) or kind not in KNOWN_KINDS:
            expected = "one of " + ", ".join(sorted(KNOWN_KINDS))
            self._add("unknown_kind", f"{place}.kind", repr(kind), expected)
        if "traffic_split" in spec:
            targets = tuple(
                (
                    require_field(split, "service", str),
                    float(require_field(split, "weight", NUMBER)),
                )
                for split in require_field(spec, "traffic_split", list)
            )
        else:
            targets = ((require_field(spec, "service", str), 1.0),)
        self.config.routes.append(
            DeclaredRoute(
                place=place,
                name=name,
                host=require_field(spec, "host", str),
                prefix=require_field(spec, "path_prefix", str),
                targets=targets,
                timeout_ms=parse_duration_ms(spec.get("timeout")),
                objective_ms=parse_duration_ms(spec.get("target_latency")),
                max_attempts=require_field(spec, "max_attempts", int),
                settings=describe(spec, "kind", "priority", "public"),
            )
        )

    def _read_service(self, place: str, name: str, spec: dict[str, Any]) -> None:
        require_field(spec, "health_check_path", str)
        if "slow_start" in spec:
            parse_duration_ms(spec["slow_start"])
        self.config.services.append(
            DeclaredService(
                place=place,
                name=name,
                connections=require_field(spec, "max_connections", int),
                settings=describe(
                    spec, "health_check_path", "slow_start", "warmup_per_s"
                ),
            )
        )

    def _read_account(self, place: str, name: str, spec: dict[str, Any]) -> None:
        keys = require_field(spec, "api_keys", list)
        for number, key in enumerate(keys):
            if not is_key(key):
                place_of_key = f"{place}.api_keys[{number}]"
                self._add("key_malformed", place_of_key, "malformed", KEY_EXPECTED)
        self.config.accounts.append(
            DeclaredAccount(
                place=place,
                name=name,
                digests=tuple(digest_key(key) for key in keys if is_key(key)),
                per_s=read_number(spec, "rate_per_s"),
                burst=read_number(spec, "burst"),
                settings=describe(spec, "priority", "allowed_regions"),
            )
        )

    def _read_limits(self, place: str, spec: dict[str, Any]) -> None:
        for name in ("max_header_bytes", "max_body_bytes"):
            value = require_field(spec, name, int)
            if value < 1:
                self._add("limit_invalid", f"{place}.{name}", str(value), "at least 1")
        for name in ("header_timeout", "idle_timeout"):
            if parse_duration_ms(spec.get(name)) <= 0.0:
                value = repr(spec.get(name))
                self._add("limit_invalid", f"{place}.{name}", value, "a time above 0")

    @contextmanager
    def _collect(self, place: str) -> Iterator[None]:
        try:
            yield
        except DocumentError as exc:
            self._add("malformed", place, str(exc), "the form of the reference")

    def _add(self, code: str, place: str, value: str, expected: str) -> None:
        self.config.problems.append(
            Finding(
                severity=Severity.ERROR,
                code=code,
                place=place,
                value=value,
                expected=expected,
            )
        )


def read_number(spec: dict[str, Any], name: str) -> float:
    """
    Read a number that may be missing.

    :param spec: fields of an entry
    :param name: name of the field
    :return: the number, 0 if it is missing
    :raises DocumentError: if it is no finite number
    """
    value = spec.get(name, 0)
    number = float(require_field({name: value}, name, NUMBER))
    if not math.isfinite(number):
        raise DocumentError(f"field {name!r} is {value}")
    return number


def describe(spec: dict[str, Any], *names: str) -> str:
    """
    Describe fields that only the comparison of two versions needs.

    :param spec: fields of an entry
    :param names: names of the fields
    :return: the fields that are set, as text
    """
    return " ".join(f"{name}={spec[name]!r}" for name in names if name in spec)
