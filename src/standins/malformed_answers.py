"""Answers of an upstream in trouble, whose heads are not valid HTTP/1.1."""

__all__ = [
    "format_fields",
    "list_framed_interims",
    "list_malformed_names",
    "list_malformed_statuses",
]

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
# Names of header fields; a token of RFC 9110 has none of these bytes.
FIELD_NAMES = (
    b"",
    b"X Y",
    b" X",
    b"X ",
    b"X\t",
    b"X\x00",
    b"\x01X",
    b"X\x0bY",
    b"X\x1f",
    b"X\x7f",
    b"X\xa0",
    b"X\rY",
    b"X\nY",
    b"Content-Length ",
    b"Transfer-Encoding ",
    b"Transfer-Encoding\x0b",
    b"\x0cConnection",
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


def list_framed_interims(fields: dict[str, str], body: bytes) -> dict[str, bytes]:
    """
    List answers that begin with an interim response which tells of a body.

    :param fields: header fields of a sound answer, without its length
    :param body: body of each answer, which may look like a sound answer itself
    :return: bytes of the answers by a name of their fault
    """
    lines = format_fields(fields)
    length = format_length(body) + lines + b"\r\n" + body
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    chunked = b"Transfer-Encoding: chunked\r\n" + lines + b"\r\n" + chunk
    answers = {}
    for status in (100, 102, 103, 199):
        line = b"HTTP/1.1 %d X\r\n" % status
        answers[f"status {status} with a length"] = line + length
        answers[f"status {status} with chunks"] = line + chunked
        answers[f"status {status} after a sound one"] = line + b"\r\n" + line + length
    return answers


def list_malformed_names(fields: dict[str, str], body: bytes) -> dict[str, bytes]:
    """
    List answers in which the name of a field is no token.

    :param fields: header fields of a sound answer, without its length
    :param body: body of each answer, which may look like a sound answer itself
    :return: bytes of the answers by a name of their fault
    """
    head = format_length(body) + format_fields(fields)
    rest = head + b"\r\n" + body
    chunked = b"Transfer-Encoding: chunked\r\n" + format_fields(fields) + b"\r\n"
    chunks = b"%x\r\n%b\r\n0\r\n" % (len(body), body)
    answers = {}
    for name in FIELD_NAMES:
        line = name + b": 1\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\n" + line + b"\r\n"
        answers[f"{name!r} first"] = OK_LINE + line + rest
        answers[f"{name!r} last"] = OK_LINE + head + line + b"\r\n" + body
        answers[f"{name!r} in an interim answer"] = interim + OK_LINE + rest
        answers[f"{name!r} in a trailer"] = OK_LINE + chunked + chunks + line + b"\r\n"
    return answers


def format_length(body: bytes) -> bytes:
    """
    Encode the field that tells the length of a body.

    :param body: the body
    :return: the header line with its line end
    """
    return format_fields({"Content-Length": str(len(body))})
