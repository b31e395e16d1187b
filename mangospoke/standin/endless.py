"""Answers without end: bytes that go on until the client closes the connection."""

from dataclasses import dataclass

from mangospoke.http.fields import REQUEST_ID
from mangospoke.standin.upstream_settings import EndlessPart
from mangospoke.verdicts import Headers

_CHUNK = b"400\r\n" + b"x" * 1_024 + b"\r\n"
_MIN_WRITE_BYTES = 1_024
_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_NO_LENGTH = b"\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class EndlessBytes:
    """Bytes sent once, then others again and again.

    Attributes:
        pause_s: Seconds between two repetitions; 0 for full speed.
    """

    start: bytes
    repeated: bytes
    pause_s: float


def endless_bytes(part: EndlessPart, headers: Headers, pause_s: float) -> EndlessBytes:
    """Returns the bytes of an answer of which a part has no end.

    Args:
        part: The part.
        headers: Header fields of the answer.
        pause_s: Seconds between two repetitions.
    """
    start, unit = _start_and_unit(part, headers)
    # Without a pause, small units would keep the stand-in busier than its client.
    count = 1 if pause_s else max(1, _MIN_WRITE_BYTES // len(unit))
    return EndlessBytes(start, unit * count, pause_s)


def _start_and_unit(part: EndlessPart, headers: Headers) -> tuple[bytes, bytes]:
    """Returns the bytes that are sent once, and those that are repeated."""
    head = _STATUS_LINE + b"".join(
        name + b": " + value + b"\r\n" for name, value in headers
    )
    match part:
        case EndlessPart.HEAD:
            return head, b"X-More: x\r\n"
        case EndlessPart.INFORMATIONAL:
            return b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"
        case EndlessPart.OTHER_ANSWERS:
            return b"", _other_answer()
        case EndlessPart.GARBAGE:
            return b"", b"\x00\xffno answer"
        case EndlessPart.CHUNKED_BODY:
            return head + _CHUNKED, _CHUNK
        case EndlessPart.BODY_WITHOUT_LENGTH:
            return head + _NO_LENGTH, b"x" * 1_024


def _other_answer() -> bytes:
    request_id = REQUEST_ID + b": another-request\r\n"
    return _STATUS_LINE + request_id + b"Content-Length: 4\r\n\r\nlate"
