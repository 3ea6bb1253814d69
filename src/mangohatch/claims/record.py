"""The claim of a key as it is kept in the store."""

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
    """How far the request of a claim is known to have come."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimRecord:
    """
    One key and its latest attempt.

    ``deadline_wall_ms`` ends the attempt; ``changed_wall_ms`` starts the retention.
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
        Make the record of the ended attempt.

        :param state: done, not run or unknown
        :param answer: the answer to keep
        :param wall_ms: the wall-clock time
        :return: the record
        """
        return replace(self, state=state, answer=answer, changed_wall_ms=wall_ms)

    def value(self) -> dict[str, Any]:
        """
        Make the value under which the claim is stored.

        :return: a JSON value, without an operation id
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
    """Model of a stored claim."""

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
    Name the claim object of a key.

    :param service: name of the service
    :param key: the caller's key
    :return: a hash of both; the object holds them in full
    """
    return hashlib.sha256(f"{service}\0{key}".encode()).hexdigest()


def claim_kind(name: str) -> str:
    """
    Tell the kind of a claim object; there are many, so that each list is short.

    :param name: name of the claim object, or its shard
    :return: the kind
    """
    return f"claim-{name[:SHARD_DIGITS]}"


def read_claim(value: dict[str, Any]) -> ClaimRecord | None:
    """
    Check a stored claim.

    :param value: the stored value
    :return: the claim, None when the value is not a valid one
    """
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
