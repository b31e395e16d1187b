"""What granting costs the grantor of a failure domain, by hosts and accounts."""

import time

import msgspec
from msgspec import Struct

from mangospoke.ids import ClientAccountId, FailureDomainId, HostId, Incarnation
from mangospoke.rates.grantor import Grantor
from mangospoke.rates.messages import AccountNeed, Grants, RequestGrants
from mangospoke.rates.records import GrantorAppointed, SharesDeclared, SharesRecord
from mangospoke.rates.share_table import ShareTable
from mangospoke.rates.timing import NS_PER_S
from mangospoke.rates.units import MILLI, NOTHING, Share

_DOMAIN = FailureDomainId("a")
_TOTAL = Share(10_000 * MILLI, 10_000 * MILLI)
_DEMAND = 5 * MILLI
_ROUNDS = 3
_ENVELOPE_BYTES = 52
"""Nonce and proof around each message, and the framing of the messages."""


class GrantCost(Struct, frozen=True, kw_only=True):
    """Cost of one host's request to its grantor.

    Attributes:
        holders: Hosts of the domain.
        accounts: Client accounts that each host asks for.
        cpu_us: Processor time of the grantor, decoding and encoding included.
        total_bytes: Bytes of question and answer.
    """

    holders: int
    accounts: int
    cpu_us: float
    total_bytes: float


def measure_grants(holders: int, accounts: int) -> GrantCost:
    """Measures requests of all hosts of a domain for all accounts."""
    grantor = _appointed(accounts)
    shares: dict[tuple[int, ClientAccountId], Share] = {}
    started_at = 0.0
    total_bytes = 0
    for number in range(_ROUNDS):
        if number == 1:
            # The first round only gives out what the others renew.
            started_at = time.process_time()
            total_bytes = 0
        now = (number + 1) * NS_PER_S
        grantor.tick(now)
        for holder in range(holders):
            total_bytes += _exchange(grantor, holder, accounts, number, shares, now)
    requests = holders * (_ROUNDS - 1)
    return GrantCost(
        holders=holders,
        accounts=accounts,
        cpu_us=(time.process_time() - started_at) / requests * 1e6,
        total_bytes=total_bytes / requests,
    )


def _exchange(
    grantor: Grantor,
    holder: int,
    accounts: int,
    number: int,
    shares: dict[tuple[int, ClientAccountId], Share],
    now: int,
) -> int:
    needs = tuple(
        AccountNeed(
            account_id=account_id,
            held=shares.get((holder, account_id), NOTHING),
            level=_DEMAND,
            demand=_DEMAND,
            returned=0,
            short=0,
        )
        for account_id in map(_account, range(accounts))
    )
    request = RequestGrants(
        HostId(f"host-{holder}"),
        Incarnation(1),
        "127.0.0.1:7003",
        1,
        number + 1,
        needs,
    )
    question = msgspec.msgpack.encode(request)
    answer = grantor.grant(msgspec.msgpack.decode(question, type=RequestGrants), now)
    assert isinstance(answer, Grants), answer
    for grant in answer.grants:
        shares[(holder, grant.account_id)] = grant.share
    return len(question) + len(msgspec.msgpack.encode(answer)) + 2 * _ENVELOPE_BYTES


def _account(number: int) -> ClientAccountId:
    return ClientAccountId(f"account-{number}")


def _appointed(accounts: int) -> Grantor:
    table = ShareTable()
    host_id, incarnation = HostId("grantor"), Incarnation(1)
    grantor = Grantor(_DOMAIN, host_id, incarnation, table, 0)

    def fold(record: SharesRecord) -> None:
        table.apply(record)
        grantor.on_record_applied(record, 0)

    fold(
        GrantorAppointed(
            record_id="appointed",
            domain=_DOMAIN,
            builds_on=0,
            configuration_version=1,
            host_id=host_id,
            incarnation=incarnation,
            control_address="",
        )
    )
    for number in range(accounts):
        fold(
            SharesDeclared(
                record_id=f"declared-{number}",
                account_id=_account(number),
                builds_on=0,
                configuration_version=1,
                total=_TOTAL,
                added={_DOMAIN: _TOTAL},
            )
        )
    grantor.activate(1, 0)
    return grantor
