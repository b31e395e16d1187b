"""Names of the header fields that the system reads and writes."""

AUTHORIZATION = b"authorization"
"""Callers send `Bearer KEY_ID.SECRET`; it is never passed on."""

IDEMPOTENCY_KEY = b"idempotency-key"
"""Names a non-idempotent request, so that sending it again does not run it again."""

VERDICT = b"mangospoke-verdict"
"""`not-run`, `ran` or `may-have-run`, on every answer to a caller."""

REASON = b"mangospoke-reason"
"""Why a request was refused or brought no whole answer."""

REQUEST_ID = b"mangospoke-request-id"
"""Names one execution; upstreams return it, so that crossed answers show."""

ACCOUNT = b"mangospoke-account"
"""The client account for which an upstream runs a request."""

IMPORTANCE = b"mangospoke-importance"
"""Importance of the request, 0 the highest."""

DEADLINE = b"mangospoke-deadline-ms"
"""Milliseconds left; callers may send it to shorten the route's deadline."""

EXECUTION = b"mangospoke-execution"
"""Token that an upstream sends back with the calls that it makes for a request."""

SHED = b"mangospoke-shed"
"""On an upstream's 503: the upstream did not run the request."""

INTERNAL = frozenset(
    {REQUEST_ID, ACCOUNT, IMPORTANCE, DEADLINE, EXECUTION, SHED, VERDICT, REASON}
)
"""Fields that callers can't set: they are dropped where a request enters."""

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
"""Fields that concern one connection alone."""

ANNOUNCE_PATH = "/mangospoke/v1/upstream"
"""On the local listener: `POST` announces or changes this host's upstream."""

DRAIN_PATH = "/mangospoke/v1/upstream/drain"
"""On the local listener: `POST` takes the upstream out of routing."""

LEAVE_PATH = "/mangospoke/v1/upstream/leave"
"""On the local listener: `POST` says that the upstream is gone."""
