"""The entrance of a hosted daemon: callers and this host's upstream on one address."""

import random
from collections.abc import Callable

import trio

from mangospoke.calls import Call, RetryAllowance
from mangospoke.conf.declarations import Access
from mangospoke.conf.effective import (
    EffectiveAccount,
    EffectiveConfiguration,
    EffectiveRoute,
)
from mangospoke.http.messages import HttpAnswer, HttpRequest
from mangospoke.ids import ClientAccountId, KeyId, ServiceName
from mangospoke.ingress.callees import Callees
from mangospoke.ingress.calls import NO_ACCOUNT, new_request_id
from mangospoke.ingress.dialect import CallerDialect, CallerFields
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.ingress.shedding import RootShedding, come_back_s
from mangospoke.ingress.splitting import WeightedSplit
from mangospoke.observability.decisions import DecisionLog
from mangospoke.rates.site_limits import Quota
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness
from mangospoke.verdicts import Outcome, RefusalReason, Refused

_NO_SERVICE = ServiceName("")


class HostedEntrance:
    """Serves requests that enter the fleet at this host.

    Attributes:
        closing: Whether each answer ends its connection, so that callers look for
            another host.
        callees: The services that this host's upstream calls.
    """

    def __init__(
        self,
        fleet: Fleet,
        freshness: Freshness,
        dialect: CallerDialect,
        service: ServiceName,
        quota: Quota,
        give_back: Callable[[EffectiveAccount], None],
        dispatcher: Dispatcher,
        read_deep_delay_s: Callable[[ServiceName], float],
        decisions: DecisionLog,
    ) -> None:
        self.closing = False
        self._fleet = fleet
        self._freshness = freshness
        self._dialect = dialect
        self._service = service
        self._quota = quota
        self._give_back = give_back
        self._dispatcher = dispatcher
        self._read_deep_delay_s = read_deep_delay_s
        self._decisions = decisions
        self._split = WeightedSplit()
        self._shedding = RootShedding()
        self._source = random.Random()
        self.callees = Callees(service)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Authenticates a request, holds it to its account's rate and dispatches it."""
        fields = self._dialect.read_fields(request)
        outcome = await self._outcome(request, fields, trio.current_time())
        answer = self._dialect.write_answer(outcome, fields.request_id)
        answer.closes = self.closing
        return answer

    async def _outcome(
        self, request: HttpRequest, fields: CallerFields, entered_at: float
    ) -> Outcome:
        configuration = self._fleet.configuration
        route = self._match(request, fields, configuration)
        if isinstance(route, Refused):
            return self._refuse(route, fields, NO_ACCOUNT, _NO_SERVICE)
        service = self._split.choose(route)
        account = self._authenticate(route, fields, configuration)
        if isinstance(account, Refused):
            return self._refuse(account, fields, NO_ACCOUNT, service)
        if account is not None and account.rate:
            over_rate = await self._quota(account)
            if over_rate is not None:
                return self._refuse(over_rate, fields, account.account_id, service)
        call = self._call(request, fields, route, service, account)
        call.entered_at = entered_at
        if call.is_sub_call:
            self.callees.called(service, trio.current_time())
        else:
            shed = self._shed(call)
            if shed is not None:
                self._return_token(account)
                return self._refuse(shed, fields, call.account_id, service)
        outcome = await self._dispatcher.dispatch_recorded(call)
        if isinstance(outcome, Refused):
            self._return_token(account)
        return outcome

    def _return_token(self, account: EffectiveAccount | None) -> None:
        """Leaves an account's rate to requests that run."""
        if account is not None and account.rate:
            self._give_back(account)

    def _shed(self, call: Call) -> Refused | None:
        """Refuses a request for whose calls there is no room below."""
        delay_s = self._read_deep_delay_s(call.service)
        share = self._shedding.refused_share(
            call.service, call.importance, delay_s, trio.current_time()
        )
        if share == 0 or self._source.random() >= share:
            return None
        wait_s = come_back_s(call.importance, self._source.random())
        detail = (
            f"a service that it needs has no room: requests wait {delay_s * 1000:.0f} "
            f"ms there, and {share:.0%} of this importance are refused"
        )
        return Refused(RefusalReason.OVERLOADED_BELOW, detail, wait_s)

    def _match(
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
        """The account whose key a request carries; None if the route needs none."""
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

    def _call(
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
            key_id=_key_of(fields, account),
            service=service,
            route=route.name,
            method=request.method,
            target=request.target,
            headers=self._dialect.passed_on(request, self._service),
            body=request.body,
            deadline=trio.current_time() + _time_s(fields, route),
            importance=importance,
            idempotent=route.idempotent,
            idempotency_key=None,
            retries=RetryAllowance(route.retries),
            version=self._fleet.configuration.version,
            # Whoever sends it, nobody but an upstream has a request depend on it.
            is_sub_call=account is None,
            caller=self._service if account is None else _NO_SERVICE,
            parent_id=fields.parent_id,
            target_s=route.target_latency_s,
        )

    def _refuse(
        self,
        refused: Refused,
        fields: CallerFields,
        account_id: ClientAccountId,
        service: ServiceName,
    ) -> Refused:
        self._decisions.refused_at_entry(
            account_id,
            service,
            refused,
            fields.request_id,
            self._fleet.configuration.version,
        )
        return refused


def _key_of(fields: CallerFields, account: EffectiveAccount | None) -> KeyId | None:
    return None if account is None else fields.key_id


def _time_s(fields: CallerFields, route: EffectiveRoute) -> float:
    """The route's time, or a shorter one that the caller will wait."""
    if fields.time_left_s is None:
        return route.deadline_s
    return min(route.deadline_s, fields.time_left_s)
