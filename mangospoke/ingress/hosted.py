"""The request handler of a hosted daemon.

Callers and this host's own upstream send their requests to the same address.
"""

import random
from collections.abc import Callable

import trio

from mangospoke.calls import Call, Repetition, RetryAllowance
from mangospoke.conf.declarations import Access
from mangospoke.conf.effective import (
    EffectiveAccount,
    EffectiveConfiguration,
    EffectiveRoute,
)
from mangospoke.guard.executions import ExecutionRegistry, track_sub_call
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import ClientAccountId, KeyId, ServiceName
from mangospoke.ingress.callees import Callees
from mangospoke.ingress.calls import NO_ACCOUNT, new_request_id
from mangospoke.ingress.dialect import CallerDialect, CallerFields
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.ingress.shedding import RootRequestShedder
from mangospoke.ingress.splitting import TrafficSplitter
from mangospoke.observability.decisions import DecisionLog
from mangospoke.rates.site_limits import Quota
from mangospoke.retry_delays import retry_delay_s
from mangospoke.shutdown import Shutdown
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness
from mangospoke.verdicts import Outcome, RefusalReason, Refused

_NO_SERVICE = ServiceName("")


class HostedRequestHandler:
    """Handles requests that enter the fleet at this host.

    Attributes:
        callees: The services that this host's upstream calls.
    """

    def __init__(
        self,
        fleet: Fleet,
        freshness: Freshness,
        dialect: CallerDialect,
        service: ServiceName,
        quota: Quota,
        return_token: Callable[[EffectiveAccount], None],
        dispatcher: Dispatcher,
        read_downstream_delay_s: Callable[[ServiceName], float],
        decisions: DecisionLog,
        shutdown: Shutdown,
        executions: ExecutionRegistry | None = None,
    ) -> None:
        self._fleet = fleet
        self._freshness = freshness
        self._dialect = dialect
        self._service = service
        self._quota = quota
        self._return_token = return_token
        self._dispatcher = dispatcher
        self._read_downstream_delay_s = read_downstream_delay_s
        self._decisions = decisions
        self._shutdown = shutdown
        self._executions = executions if executions is not None else ExecutionRegistry()
        self._splitter = TrafficSplitter()
        self._shedder = RootRequestShedder()
        self._random = random.Random()
        self.callees = Callees(service)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Authenticates a request, enforces its account's rate and dispatches it."""
        fields = self._dialect.read_fields(request)
        request.request_id = fields.request_id
        outcome = await self._process(request, fields, trio.current_time())
        response = self._dialect.build_response(outcome, fields.request_id)
        # Closing the connection makes the caller connect to another host.
        response.closes_connection = self._shutdown.is_draining
        return response

    async def _process(
        self, request: HttpRequest, fields: CallerFields, entered_at: float
    ) -> Outcome:
        if self._shutdown.refuses_requests:
            refused = Refused(RefusalReason.DRAINING, "this host is stopping")
            return self._refuse(refused, fields, NO_ACCOUNT, _NO_SERVICE)
        configuration = self._fleet.configuration
        route = self._match_route(request, fields, configuration)
        if isinstance(route, Refused):
            return self._refuse(route, fields, NO_ACCOUNT, _NO_SERVICE)
        service = request.service = self._splitter.choose(route)
        account = self._authenticate(route, fields, configuration)
        if isinstance(account, Refused):
            return self._refuse(account, fields, NO_ACCOUNT, service)
        call = self._make_call(request, fields, route, service, account)
        call.entered_at = entered_at
        request.request_id = call.request_id
        if call.is_sub_call:
            self.callees.record_call(service, trio.current_time())
            parent = self._executions.find_by_request_id(call.parent_id)
            if parent is not None and parent.call.repetition is not Repetition.NONE:
                call.repetition = Repetition.INHERITED
        else:
            # Before a token is taken: it may have come from another host.
            overload_refusal = self._refuse_if_overloaded(call)
            if overload_refusal is not None:
                return self._refuse(overload_refusal, fields, call.account_id, service)
        if account is not None and account.rate:
            quota_refusal = await self._take_token(request, fields, service, account)
            if quota_refusal is not None:
                return self._refuse(quota_refusal, fields, account.account_id, service)
        if call.is_sub_call:
            with track_sub_call(self._executions, call.parent_id) as sub_call:
                sub_call.outcome = await self._dispatcher.dispatch_and_record(call)
            return sub_call.outcome
        outcome = await self._dispatcher.dispatch_and_record(call)
        if isinstance(outcome, Refused):
            self._return_unused_token(account)
        return outcome

    async def _take_token(
        self,
        request: HttpRequest,
        fields: CallerFields,
        service: ServiceName,
        account: EffectiveAccount,
    ) -> Refused | None:
        """Waits for a token of an account's rate; returns why there is none."""
        try:
            return await self._quota(account)
        except trio.Cancelled:
            self._decisions.record_early_cancellation(
                account.account_id,
                service,
                request.cancellation,
                fields.request_id,
                self._fleet.configuration.version,
            )
            raise

    def _return_unused_token(self, account: EffectiveAccount | None) -> None:
        """Returns the token of a request that didn't run to its account's rate."""
        if account is not None and account.rate:
            self._return_token(account)

    def _refuse_if_overloaded(self, call: Call) -> Refused | None:
        """Refuses a part of the root requests while their callees are overloaded."""
        delay_s = self._read_downstream_delay_s(call.service)
        refused_ratio = self._shedder.refused_ratio(
            call.service, call.importance, delay_s, trio.current_time()
        )
        if refused_ratio == 0 or self._random.random() >= refused_ratio:
            return None
        retry_after_s = retry_delay_s(call.importance, self._random.random())
        detail = (
            f"a service that it needs has no room: requests wait {delay_s * 1000:.0f} "
            f"ms there, and {refused_ratio:.0%} of this importance are refused"
        )
        return Refused(RefusalReason.OVERLOADED_BELOW, detail, retry_after_s)

    def _match_route(
        self,
        request: HttpRequest,
        fields: CallerFields,
        configuration: EffectiveConfiguration,
    ) -> EffectiveRoute | Refused:
        if configuration.version == 0:
            return Refused(RefusalReason.NOT_CONFIGURED, "no configuration yet")
        route = configuration.host_routes.match(fields.host, request.path)
        if route is None:
            return Refused(RefusalReason.UNKNOWN_ROUTE, "no route has this path")
        return route

    def _authenticate(
        self,
        route: EffectiveRoute,
        fields: CallerFields,
        configuration: EffectiveConfiguration,
    ) -> EffectiveAccount | Refused | None:
        """Finds the account of a request's key; None if the route needs no key."""
        if route.access is Access.KEYLESS:
            return None
        if not self._freshness.is_fresh():
            detail = (
                "this host can't tell whether keys have been withdrawn: the last "
                f"proof is {self._freshness.age_s():.1f} s old"
            )
            return Refused(RefusalReason.CONFIGURATION_STALE, detail)
        key = None
        if fields.key_id is not None:
            key = configuration.keys_by_id.get(fields.key_id)
        if key is None or key.withdrawn:
            return Refused(RefusalReason.UNAUTHENTICATED, "the key is unknown")
        return configuration.accounts_by_id[key.account_id]

    def _make_call(
        self,
        request: HttpRequest,
        fields: CallerFields,
        route: EffectiveRoute,
        service: ServiceName,
        account: EffectiveAccount | None,
    ) -> Call:
        importance = route.importance
        if account is not None and account.importance is not None:
            importance = account.importance
        return Call(
            request_id=fields.request_id or new_request_id(),
            account_id=account.account_id if account is not None else NO_ACCOUNT,
            key_id=_key_id_of(fields, account),
            service=service,
            route=route.name,
            method=request.method,
            target=request.target,
            headers=self._dialect.forwarded_headers(request, self._service),
            body=request.body,
            deadline=trio.current_time() + _timeout_s(fields, route),
            importance=importance,
            idempotent=route.idempotent,
            idempotency_key=None,
            retries=RetryAllowance(route.retries),
            version=self._fleet.configuration.version,
            # A keyless request is taken for a sub-call whoever sends it: only if an
            # upstream does, does another request depend on its outcome.
            is_sub_call=account is None,
            caller=self._service if account is None else _NO_SERVICE,
            parent_id=fields.parent_id,
            target_latency_s=route.target_latency_s,
            cancellation=request.cancellation,
        )

    def _refuse(
        self,
        refused: Refused,
        fields: CallerFields,
        account_id: ClientAccountId,
        service: ServiceName,
    ) -> Refused:
        """Records a refusal and returns it."""
        self._decisions.record_early_refusal(
            account_id,
            service,
            refused,
            fields.request_id,
            self._fleet.configuration.version,
        )
        return refused


def _key_id_of(fields: CallerFields, account: EffectiveAccount | None) -> KeyId | None:
    return None if account is None else fields.key_id


def _timeout_s(fields: CallerFields, route: EffectiveRoute) -> float:
    """Returns the route's deadline or the caller's timeout, whichever is shorter."""
    if fields.timeout_s is None:
        return route.deadline_s
    return min(route.deadline_s, fields.timeout_s)
