"""The request handler of the local listener, which serves this host's upstream."""

import msgspec

from mangospoke.announcements import Announcement
from mangospoke.calls import Call
from mangospoke.decoding import decode_json
from mangospoke.guard.executions import track_sub_call
from mangospoke.guard.guard import Guard
from mangospoke.http import fields
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import (
    ClientAccountId,
    ExecutionToken,
    FailureDomainId,
    ServiceName,
)
from mangospoke.ingress.answers import build_response
from mangospoke.ingress.calls import NO_ACCOUNT, make_sub_call, match_route
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.observability.decisions import DecisionLog
from mangospoke.shutdown import Shutdown
from mangospoke.state.announcer import Announcer
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason, Refused

_NO_SERVICE = ServiceName("")


class LocalRequestHandler:
    """Handles the requests of this host's upstream.

    During a shutdown, announcements are refused, so that an upstream that repeats its
    own isn't routed to again.
    """

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        guard: Guard,
        announcer: Announcer,
        dispatcher: Dispatcher,
        decisions: DecisionLog,
        shutdown: Shutdown,
    ) -> None:
        self._fleet = fleet
        self._domain = domain
        self._guard = guard
        self._announcer = announcer
        self._dispatcher = dispatcher
        self._decisions = decisions
        self._shutdown = shutdown

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles an announcement, or dispatches a sub-call of a running execution."""
        if request.method == b"POST":
            if request.path == fields.ANNOUNCE_PATH:
                return self._announce(request)
            if request.path == fields.DRAIN_PATH:
                self._announcer.drain()
                return _text_response(200, "draining")
            if request.path == fields.LEAVE_PATH:
                self._announcer.leave()
                return _text_response(200, "left")
        return await self._dispatch(request)

    def _announce(self, request: HttpRequest) -> HttpResponse:
        if self._shutdown.is_draining:
            return _text_response(503, "the daemon is stopping")
        try:
            announcement = decode_json(request.body.content or b"", Announcement)
        except msgspec.MsgspecError as error:
            return _text_response(400, str(error))
        self._announcer.announce(announcement)
        return _text_response(200, "announced")

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        parent = self._find_parent(request)
        if parent is None:
            detail = "send back the execution's `Mangospoke-Execution` field"
            refused = Refused(RefusalReason.UNKNOWN_EXECUTION, detail)
            return self._refuse(refused, NO_ACCOUNT, _NO_SERVICE)
        route = match_route(request, self._fleet.configuration, internal=True)
        if isinstance(route, Refused):
            return self._refuse(route, parent.account_id, _NO_SERVICE)
        call = make_sub_call(request, route, parent, self._domain)
        if isinstance(call, Refused):
            return self._refuse(call, parent.account_id, route.service)
        request.request_id, request.service = call.request_id, call.service
        with track_sub_call(self._guard.executions, parent.request_id) as sub_call:
            outcome = await self._dispatcher.dispatch_and_record(call)
            sub_call.outcome = outcome
        return build_response(outcome, call.request_id, call.idempotency_key)

    def _refuse(
        self, refused: Refused, account_id: ClientAccountId, service: ServiceName
    ) -> HttpResponse:
        """Records a refusal and builds the response that reports it."""
        version = self._fleet.configuration.version
        self._decisions.record_early_refusal(
            account_id, service, refused, version=version
        )
        return build_response(refused)

    def _find_parent(self, request: HttpRequest) -> Call | None:
        """Finds the call whose execution a request is part of, by its token."""
        token = request.field(fields.EXECUTION)
        if token is None:
            return None
        return self._guard.executions.find(ExecutionToken(token.decode("latin-1")))


def _text_response(status: int, text: str) -> HttpResponse:
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    return HttpResponse(status, headers, buffered_body(f"{text}\n".encode()))
