"""The request handler of the public listener, with a fake quota."""

import trio

from mangospoke.cancellation import CancelCause
from mangospoke.conf.declarations import Access, Importance
from mangospoke.conf.effective import (
    EffectiveAccount,
    EffectiveConfiguration,
    EffectiveKey,
    EffectiveRoute,
)
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest
from mangospoke.ingress.public import PublicRequestHandler
from mangospoke.keys import generate_secret, hash_secret, parse_hash
from mangospoke.observability.decisions import DecisionLog
from mangospoke.shutdown import Shutdown
from mangospoke.state.fleet import Fleet

ACCOUNT = EffectiveAccount("acme", 10, 10, 1, {}, None, None)
ROUTE = EffectiveRoute(
    service="back",
    name="open",
    method=b"GET",
    path="/open",
    access=Access.OPEN,
    importance=Importance.LOW,
    idempotent=True,
    deadline_s=0.8,
    retries=1,
)


async def test_a_request_cancelled_while_it_waits_for_a_token_is_recorded(
    autojump_clock,
):
    secret = generate_secret()
    configuration = EffectiveConfiguration(7)
    configuration.accounts_by_id["acme"] = ACCOUNT
    key_hash = parse_hash(hash_secret(secret))
    configuration.keys_by_id["k"] = EffectiveKey("acme", key_hash, False)
    configuration.routes.add("GET", "/open", ROUTE)
    fleet = Fleet("s")
    fleet.activate_configuration(configuration)
    decisions = DecisionLog()

    async def wait_for_token(_account):
        await trio.sleep_forever()

    handler = PublicRequestHandler(
        fleet, "a", wait_for_token, None, decisions, Shutdown()
    )
    headers = [(b"authorization", f"Bearer k.{secret}".encode())]
    request = HttpRequest(b"GET", b"/open", headers, buffered_body(b""))
    with trio.move_on_after(1):
        await handler.handle(request)
    assert decisions.unanswered == {("back", CancelCause.STOPPED): 1}
    assert [key[3] for key in decisions.outcomes] == ["stopped"]
    assert request.request_id is not None
