"""Claim of a key, as kept in the store."""

import base64
import binascii
import hashlib
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from mangohatch.claims.registry import Answer
from mangohatch.store.operations import OPERATION_FIELDS

__all__ = [
    "SHARDS",
    "ClaimRecord",
    "ClaimState",
    "claim_kind",
    "claim_name",
    "read_claim",
]

SHARD_DIGITS = 2
SHARDS = tuple(f"{number:0{SHARD_DIGITS}x}" for number in range(16**SHARD_DIGITS))


class ClaimState(StrEnum):
    """Last known state of the request of a claim."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimRecord:
    """
    One key and its latest attempt.

    The attempt ends at the wall-clock time ``deadline_wall_ms`` at the latest. The
    retention of an ended attempt starts at ``changed_wall_ms``.
    """

    service: str
    key: str
    state: ClaimState
    host: str
    attempt: str
    deadline_wall_ms: float
    changed_wall_ms: float
    answer: Answer | None = None

    def with_result(
        self, state: ClaimState, answer: Answer | None, wall_ms: float
    ) -> "ClaimRecord":
        """
        Return a copy of the record that holds the result of the attempt.

        :param state: done, not run or unknown
        :param answer: the answer to keep; None if there is none
        :param wall_ms: current wall-clock time in milliseconds
        :return: the new record
        """
        return replace(self, state=state, answer=answer, changed_wall_ms=wall_ms)

    def value(self) -> dict[str, Any]:
        """
        Build the JSON value of the claim object.

        :return: the value, without an operation id
        """
        body = self.answer.body if self.answer else None
        return {
            "service": self.service,
            "key": self.key,
            "state": self.state.value,
            "host": self.host,
            "attempt": self.attempt,
            "deadline_wall_ms": self.deadline_wall_ms,
            "changed_wall_ms": self.changed_wall_ms,
            "status": self.answer.status if self.answer else None,
            "headers": (
                [list(pair) for pair in self.answer.headers] if self.answer else []
            ),
            "body": base64.b64encode(body).decode() if body is not None else None,
        }


class ClaimValue(BaseModel):
    """Validation model of a stored claim."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    service: str
    key: str
    state: ClaimState
    host: str
    attempt: str
    deadline_wall_ms: float
    changed_wall_ms: float
    status: int | None
    headers: tuple[tuple[str, str], ...]
    body: str | None


def claim_name(service: str, key: str) -> str:
    """
    Return the name of the claim object of a key.

    :param service: name of the service
    :param key: the caller's ``Idempotency-Key``
    :return: a hash of service and key; the object itself holds both in full
    """
    return hashlib.sha256(f"{service}\0{key}".encode()).hexdigest()


def claim_kind(name: str) -> str:
    """
    Return the object kind of a claim.

    Claims are spread over one kind per shard, which keeps each listing short.

    :param name: name of the claim object, or its shard
    :return: the object kind
    """
    return f"claim-{name[:SHARD_DIGITS]}"


def read_claim(value: Any) -> ClaimRecord | None:
    """
    Parse and validate a stored claim.

    :param value: value of the claim object
    :return: the claim; None if the value is not a valid claim
    """
    if not isinstance(value, dict):
        return None
    plain = {name: val for name, val in value.items() if name not in OPERATION_FIELDS}
    try:
        checked = ClaimValue.model_validate(plain)
        body = base64.b64decode(checked.body) if checked.body is not None else None
    except (ValidationError, binascii.Error):
        return None
    answer = None
    if checked.status is not None:
        answer = Answer(status=checked.status, headers=checked.headers, body=body)
    return ClaimRecord(
        service=checked.service,
        key=checked.key,
        state=checked.state,
        host=checked.host,
        attempt=checked.attempt,
        deadline_wall_ms=checked.deadline_wall_ms,
        changed_wall_ms=checked.changed_wall_ms,
        answer=answer,
    )
