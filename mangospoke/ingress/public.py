"""The request handler of the public listener.

Its callers are outside the fleet; their keys are the only credentials accepted.
"""

import trio

from mangospoke.calls import Call
from mangospoke.conf.declarations import Access
from mangospoke.conf.effective import EffectiveAccount
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import ClientAccountId, FailureDomainId, ServiceName
from mangospoke.ingress.answers import build_response
from mangospoke.ingress.authentication import authenticate
from mangospoke.ingress.calls import NO_ACCOUNT, make_root_call, match_route
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.observability.decisions import DecisionLog
from mangospoke.rates.site_limits import Quota
from mangospoke.shutdown import Shutdown
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason, Refused

_NO_SERVICE = ServiceName("")


class PublicRequestHandler:
    """Handles callers' requests."""

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        quota: Quota,
        dispatcher: Dispatcher,
        decisions: DecisionLog,
        shutdown: Shutdown,
    ) -> None:
        self._fleet = fleet
        self._domain = domain
        self._quota = quota
        self._dispatcher = dispatcher
        self._decisions = decisions
        self._shutdown = shutdown

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Authenticates a request, enforces its account's rate and dispatches it."""
        response = await self._process(request)
        # Closing the connection makes the caller connect to another host.
        response.closes_connection = self._shutdown.is_draining
        return response

    async def _process(self, request: HttpRequest) -> HttpResponse:
        configuration = self._fleet.configuration
        if self._shutdown.refuses_requests:
            refused = Refused(RefusalReason.DRAINING, "this host is stopping")
            return self._refuse(refused, NO_ACCOUNT, _NO_SERVICE)
        route = match_route(request, configuration, internal=False)
        if isinstance(route, Refused):
            return self._refuse(route, NO_ACCOUNT, _NO_SERVICE)
        account_id, key_id = NO_ACCOUNT, None
        if route.access is not Access.KEYLESS:
            identity = authenticate(request, configuration)
            if isinstance(identity, Refused):
                return self._refuse(identity, NO_ACCOUNT, route.service)
            account_id, key_id = identity
        call = make_root_call(request, route, account_id, key_id, self._domain)
        if isinstance(call, Refused):
            return self._refuse(call, account_id, route.service)
        call.version = configuration.version
        request.request_id, request.service = call.request_id, call.service
        account = configuration.accounts_by_id.get(account_id)
        quota_refusal = await self._take_token(call, account)
        if quota_refusal is not None:
            return self._refuse(quota_refusal, account_id, route.service)
        outcome = await self._dispatcher.dispatch_and_record(call)
        return build_response(outcome, call.request_id, call.idempotency_key)

    async def _take_token(
        self, call: Call, account: EffectiveAccount | None
    ) -> Refused | None:
        """Waits for a token of an account's rate; returns why there is none."""
        if account is None:
            return None
        try:
            return await self._quota(account)
        except trio.Cancelled:
            self._decisions.record_cancellation(call)
            raise

    def _refuse(
        self, refused: Refused, account_id: ClientAccountId, service: ServiceName
    ) -> HttpResponse:
        """Records a refusal and builds the response that reports it."""
        version = self._fleet.configuration.version
        self._decisions.record_early_refusal(
            account_id, service, refused, version=version
        )
        return build_response(refused)
