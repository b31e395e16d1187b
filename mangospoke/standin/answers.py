"""The content of a stand-in upstream's answers, which shows whose answer it is."""

import msgspec
import xxhash
from msgspec import Struct

from mangospoke.ids import ServiceName


class AnswerContent(Struct, frozen=True, kw_only=True):
    """Body of an answer, as JSON.

    Attributes:
        target: Target of the request that is answered.
        body_digest: Digest of the request's body.
        execution: Number of the execution at this upstream.
        took_ms: Milliseconds from receiving the request to answering it.
        padding: Makes the answer as large as wanted.
        whole: Always true, and last, so that a cut shows.
    """

    service: ServiceName
    address: str
    request_id: str
    target: str
    body_digest: str
    execution: int
    took_ms: float = 0
    padding: str = ""
    whole: bool = True


def digest(body: bytes) -> str:
    """Digests a request's body."""
    return xxhash.xxh3_64_hexdigest(body)


def read_whole_answer(
    body: bytes, target: str, request_body: bytes = b""
) -> AnswerContent | None:
    """Reads the whole answer to a request of that target and body; None if it isn't."""
    try:
        content = msgspec.json.decode(body, type=AnswerContent)
    except msgspec.MsgspecError:
        return None
    is_own = content.target == target and content.body_digest == digest(request_body)
    return content if is_own and content.whole else None


def is_whole_answer(body: bytes, target: str, request_body: bytes = b"") -> bool:
    """Whether a body is the whole answer to a request of that target and body."""
    return read_whole_answer(body, target, request_body) is not None
