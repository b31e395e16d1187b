"""The public listener: callers outside, who are trusted with nothing but a key."""

import math

import trio

from mangospoke.conf.declarations import Access
from mangospoke.guard.guard import DRAIN_NOTICE_S
from mangospoke.http.messages import HttpAnswer, HttpRequest
from mangospoke.ids import ClientAccountId, FailureDomainId, ServiceName
from mangospoke.ingress.answers import answer_of
from mangospoke.ingress.authentication import authenticate
from mangospoke.ingress.calls import NO_ACCOUNT, match_route, root_call
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.observability.decisions import DecisionLog
from mangospoke.rates.site_limits import Quota
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason, Refused

_NO_SERVICE = ServiceName("")


class PublicEntrance:
    """Serves callers' requests."""

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        quota: Quota,
        dispatcher: Dispatcher,
        decisions: DecisionLog,
    ) -> None:
        self.draining = False
        self._refuses_from = math.inf
        self._fleet = fleet
        self._domain = domain
        self._quota = quota
        self._dispatcher = dispatcher
        self._decisions = decisions

    def drain(self) -> None:
        """Starts the planned stop: callers are served for a notice, then refused."""
        self.draining = True
        self._refuses_from = trio.current_time() + DRAIN_NOTICE_S

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Authenticates a request, holds it to its account's rate and dispatches it."""
        answer = await self._handle(request)
        # A caller whose connection ends with an answer looks for another host.
        answer.closes = self.draining
        return answer

    async def _handle(self, request: HttpRequest) -> HttpAnswer:
        configuration = self._fleet.configuration
        if trio.current_time() >= self._refuses_from:
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
        call = root_call(request, route, account_id, key_id, self._domain)
        if isinstance(call, Refused):
            return self._refuse(call, account_id, route.service)
        call.version = configuration.version
        account = configuration.accounts_by_id.get(account_id)
        over_rate = None if account is None else await self._quota(account)
        if over_rate is not None:
            return self._refuse(over_rate, account_id, route.service)
        outcome = await self._dispatcher.dispatch_recorded(call)
        return answer_of(outcome, call.request_id, call.idempotency_key)

    def _refuse(
        self, refused: Refused, account_id: ClientAccountId, service: ServiceName
    ) -> HttpAnswer:
        version = self._fleet.configuration.version
        self._decisions.refused_at_entry(account_id, service, refused, version=version)
        return answer_of(refused)
