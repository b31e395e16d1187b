"""What became of a call, as a caller sees it."""

from dataclasses import dataclass, replace

from mangospoke.client.connections import HttpAnswer
from mangospoke.http.fields import REASON, VERDICT
from mangospoke.verdicts import Headers, Verdict


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The end of a call, over all of its attempts.

    Attributes:
        status: HTTP status, or None if no whole answer came.
        verdict: Whether an upstream may have run the request.
        reason: Why it was refused or brought no whole answer; empty if it did.
        attempts: Times that the request was sent or a connection was tried.
        idempotency_key: Key under which a non-idempotent request was sent.
    """

    status: int | None
    headers: Headers
    body: bytes
    verdict: Verdict
    reason: str
    attempts: int = 1
    idempotency_key: str = ""

    def after(self, earlier: "CallOutcome | None") -> "CallOutcome":
        """Returns this outcome with the verdict over earlier attempts as well.

        A last attempt that was not run says nothing of those before it.
        """
        if earlier is None or earlier.verdict is Verdict.NOT_RUN:
            return self
        if self.verdict is not Verdict.NOT_RUN:
            return self
        return replace(self, verdict=Verdict.MAY_HAVE_RUN)

    @property
    def succeeded(self) -> bool:
        """Whether the whole answer of an upstream came, with a 2xx status."""
        return self.status is not None and 200 <= self.status < 300

    @property
    def retry_after_s(self) -> float | None:
        """Seconds after which sending again may help, if the answer names them."""
        for name, value in self.headers:
            if name == b"retry-after" and value.isdigit():
                return float(value)
        return None


UNREACHABLE = "unreachable"
CONNECTION_LOST = "connection-lost"
DEADLINE_PASSED = "deadline-passed"


def outcome_of_answer(answer: HttpAnswer) -> CallOutcome:
    """Reads an answer's verdict; one that names none came from somebody else."""
    named = answer.header(VERDICT) or b""
    try:
        verdict = Verdict(named.decode("latin-1"))
    except ValueError:
        verdict = Verdict.MAY_HAVE_RUN
    reason = (answer.header(REASON) or b"").decode("latin-1")
    return CallOutcome(answer.status, answer.headers, answer.body, verdict, reason)


def outcome_without_answer(reason: str, verdict: Verdict) -> CallOutcome:
    """Makes the outcome of an attempt that brought no answer."""
    return CallOutcome(None, (), b"", verdict, reason)
