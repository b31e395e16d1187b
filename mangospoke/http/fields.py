"""Header field names and paths of the system's HTTP interface."""

AUTHORIZATION = b"authorization"
"""Callers send `Bearer KEY_ID.SECRET`; it is never forwarded."""

IDEMPOTENCY_KEY = b"idempotency-key"
"""Identifies a non-idempotent request, so that a retry does not run it twice."""

VERDICT = b"mangospoke-verdict"
"""`not-run`, `ran` or `may-have-run`, on every response to a caller."""

REASON = b"mangospoke-reason"
"""Why a request was refused or got no complete response."""

REQUEST_ID = b"mangospoke-request-id"
"""Identifies one execution; upstreams echo it, so that a mismatch is detected."""

ACCOUNT = b"mangospoke-account"
"""The client account on whose behalf the upstream runs the request."""

IMPORTANCE = b"mangospoke-importance"
"""Importance of the request; 0 is the highest."""

DEADLINE = b"mangospoke-deadline-ms"
"""Remaining milliseconds; callers may set it to shorten the route's deadline."""

EXECUTION = b"mangospoke-execution"
"""Token that an upstream sends with the calls that it makes for a request."""

SHED = b"mangospoke-shed"
"""On an upstream's 503 response: the upstream did not run the request."""

RATE_LIMIT = b"mangospoke-rate-limit"
"""On an upstream's responses: requests a second that it takes from the whole fleet."""

LEAVING = b"mangospoke-leaving"
"""On an upstream's responses, with the value 1: it is leaving."""

INTERNAL = frozenset(
    {
        REQUEST_ID,
        ACCOUNT,
        IMPORTANCE,
        DEADLINE,
        EXECUTION,
        SHED,
        RATE_LIMIT,
        LEAVING,
        VERDICT,
        REASON,
    }
)
"""Fields that callers can't set: they are removed from incoming requests."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
    }
)
"""Fields that apply to a single connection and are not forwarded."""

ANNOUNCE_PATH = "/mangospoke/v1/upstream"
"""On the local listener: `POST` announces or updates this host's upstream."""

DRAIN_PATH = "/mangospoke/v1/upstream/drain"
"""On the local listener: `POST` removes the upstream from routing."""

LEAVE_PATH = "/mangospoke/v1/upstream/leave"
"""On the local listener: `POST` reports that the upstream has shut down."""
