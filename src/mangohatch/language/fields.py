"""Fields that may be named in sentences."""

from pydantic import BaseModel

from mangohatch.config import ServiceSpec
from mangohatch.language.sentences import Subject

__all__ = ["COLUMNS", "list_settable_fields"]

COLUMNS: dict[Subject, tuple[str, ...]] = {
    Subject.SERVICES: (
        "service",
        "path_prefix",
        "revision",
        "upstreams",
        "active",
        "warming",
        "ejected",
        "draining",
        "in_flight",
        "deadline_ms",
    ),
    Subject.UPSTREAMS: (
        "service",
        "upstream",
        "state",
        "zone",
        "address",
        "port",
        "slots",
        "in_flight",
    ),
    Subject.HOSTS: ("zone", "state", "ready", "incarnation", "members", "revision"),
    Subject.CONFIG: ("service", "revision", "order", "config"),
    Subject.QUARANTINE: ("service", "fingerprint", "state", "crashes", "upstreams"),
    Subject.ORDERS: (
        "order",
        "state",
        "service",
        "revision",
        "code",
        "reason",
        "waiting_for",
    ),
}
ANSWER_COLUMNS = ("host", "age_ms", "source")
NAME_FIELD = "name"
SCALAR_TYPES = (int, float, str, bool)


def list_settable_fields(
    model: type[BaseModel] = ServiceSpec, prefix: str = ""
) -> list[str]:
    """
    List the fields of a service that have a single value.

    :param model: model of the service, or a model nested in it
    :param prefix: path of the nested model with a trailing dot; empty for the service
    :return: dotted paths in the order of declaration, without the name of the service
    """
    paths: list[str] = []
    for name, info in model.model_fields.items():
        kind = info.annotation
        if kind in SCALAR_TYPES and (prefix or name != NAME_FIELD):
            paths.append(prefix + name)
        elif isinstance(kind, type) and issubclass(kind, BaseModel):
            paths += list_settable_fields(kind, f"{prefix}{name}.")
    return paths
