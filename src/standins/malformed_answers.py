"""Answers of an upstream in trouble, whose heads are not valid HTTP/1.1."""

__all__ = ["format_fields", "list_malformed_statuses"]

OK_LINE = b"HTTP/1.1 200 OK\r\n"

STATUSES = (
    "000",
    "001",
    "099",
    "600",
    "999",
    "0",
    "20",
    "0200",
    "2000",
    "-20",
    "2 0",
    "0x0",
    "",
)


def format_fields(fields: dict[str, str]) -> bytes:
    """
    Encode header fields.

    :param fields: values by name
    :return: the header lines, each with its line end
    """
    return "".join(f"{name}: {text}\r\n" for name, text in fields.items()).encode()


def list_malformed_statuses(fields: dict[str, str], body: bytes) -> dict[str, bytes]:
    """
    List answers whose status is none of HTTP.

    :param fields: header fields of a sound answer, without its length
    :param body: body of each answer, which may look like a sound answer itself
    :return: bytes of the answers by a name of their fault
    """
    lines = format_fields(fields)
    rest = format_length(body) + lines + b"\r\n" + body
    answers = {
        f"status {status!r}": f"HTTP/1.1 {status} X\r\n".encode() + rest
        for status in STATUSES
    }
    answers["status 000 without body"] = b"HTTP/1.1 000 X\r\n" + lines + b"\r\n"
    answers["status 000 without fields"] = b"HTTP/1.1 000 X\r\n\r\n"
    answers["status 000 before another"] = b"HTTP/1.1 000 X\r\n\r\n" + OK_LINE + rest
    return answers


def format_length(body: bytes) -> bytes:
    """
    Encode the field that tells the length of a body.

    :param body: the body
    :return: the header line with its line end
    """
    return format_fields({"Content-Length": str(len(body))})
