"""The share table accepts each record at most once and never exceeds a total."""

import msgspec
import pytest

from mangospoke.conf.declarations import FailureDomain
from mangospoke.conf.effective import EffectiveAccount, EffectiveConfiguration
from mangospoke.logservice.records import LogStream, decode_record, encode_record
from mangospoke.rates.records import (
    DomainFreed,
    GrantorActivated,
    GrantorAppointed,
    ShareMove,
    SharesDeclared,
    SharesMoved,
)
from mangospoke.rates.share_declarations import (
    build_domain_freed_records,
    build_share_declarations,
)
from mangospoke.rates.share_table import UNASSIGNED_DOMAIN, ShareTable, excess_share
from mangospoke.rates.units import NOTHING, Share, add_shares, split_by_weight


def configuration(version, rate=90, burst=9, lost=(), weights=None):
    account = EffectiveAccount("acme", rate, burst, 1, weights or {}, None, None)
    domains = {
        domain: FailureDomain(site="s", lost=domain in lost) for domain in ("a", "b")
    }
    return EffectiveConfiguration(
        version, accounts_by_id={"acme": account}, domains_by_id=domains
    )


def appointment_record(domain, builds_on=0, version=1, host="h"):
    return GrantorAppointed(
        record_id="r",
        domain=domain,
        builds_on=builds_on,
        configuration_version=version,
        host_id=f"{domain}-{host}",
        incarnation=1,
        control_address="",
    )


def move_record(domain, sequence, share, to_domain, epoch=1, **changes):
    return SharesMoved(
        record_id="r",
        domain=domain,
        epoch=epoch,
        sequence=sequence,
        moves=(ShareMove("acme", share, to_domain),),
        **changes,
    )


@pytest.fixture
def table():
    table = ShareTable()
    assert table.apply(appointment_record("a"))
    assert table.apply(appointment_record("b"))
    for record in build_share_declarations(configuration(1), table):
        assert table.apply(record)
    return table


def test_split_by_weight_is_exact_and_in_whole_tokens():
    assert split_by_weight(10, {"a": 1, "b": 1, "c": 1}) == {"a": 4, "b": 3, "c": 3}
    parts = split_by_weight(5_000, {"a": 0, "b": 3, "c": 1}, unit=1_000)
    assert parts == {"a": 0, "b": 4_000, "c": 1_000}
    assert split_by_weight(1_500, {"a": 1, "b": 1}, unit=1_000) == {
        "a": 1_500,
        "b": 0,
    }


def test_the_first_declaration_assigns_the_whole_total(table):
    account = table.accounts_by_id["acme"]
    assert add_shares(account.shares) == Share(90_000, 9_000)
    assert table.unassigned_share("acme") == NOTHING


def test_a_second_initial_declaration_is_ignored(table):
    late_record = SharesDeclared(
        record_id="x",
        account_id="acme",
        builds_on=0,
        configuration_version=1,
        total=Share(1, 1),
    )
    assert not table.apply(late_record)


def test_a_move_is_applied_once_and_only_in_its_epoch(table):
    record = move_record("a", 1, Share(5_000, 1_000), "b")
    before = table.share_of("acme", "b")
    assert table.apply(record)
    assert not table.apply(record)
    assert table.share_of("acme", "b") == before + Share(5_000, 1_000)
    assert table.apply(appointment_record("a", builds_on=1, host="next"))
    assert not table.apply(move_record("a", 2, Share(1, 0), "b"))
    assert table.apply(move_record("a", 1, Share(1, 0), "b", epoch=2))


def test_more_than_a_domain_has_is_not_moved(table):
    before = dict(table.accounts_by_id["acme"].shares)
    assert table.apply(move_record("a", 1, Share(90_000, 0), "b"))
    assert table.accounts_by_id["acme"].shares == before


def test_unassigned_shares_are_claimed_once(table):
    table.apply(move_record("a", 1, Share(10_000, 0), UNASSIGNED_DOMAIN))
    claim = {"acme": Share(10_000, 0)}
    assert table.unassigned_share("acme") == Share(10_000, 0)
    table.apply(move_record("b", 1, NOTHING, "a", taken=claim))
    table.apply(move_record("a", 2, NOTHING, "b", taken=claim))
    assert table.unassigned_share("acme") == NOTHING
    assert table.share_of("acme", "b").rate == 55_000


def test_a_decrease_is_completed_before_shares_are_claimed(table):
    (record,) = build_share_declarations(configuration(2, rate=60, burst=6), table)
    assert table.apply(record)
    account = table.accounts_by_id["acme"]
    surplus = excess_share(account, "a")
    assert surplus == Share(15_000, 2_000)
    table.apply(move_record("a", 1, surplus, UNASSIGNED_DOMAIN))
    claim = {"acme": Share(1_000, 0)}
    table.apply(move_record("a", 2, NOTHING, "b", taken=claim))
    assert table.share_of("acme", "a").rate == 30_000
    (record,) = build_share_declarations(configuration(3), table)
    assert table.apply(record)
    total = add_shares(table.accounts_by_id["acme"].shares)
    assert Share(90_000, 9_000).covers(total)


def test_a_deleted_account_is_not_declared_again(table):
    deleted = configuration(2)
    deleted.accounts_by_id.clear()
    assert build_share_declarations(deleted, table) == []
    assert build_share_declarations(configuration(3), table) == []


def test_a_lost_domain_is_freed_once_and_a_late_record_ignored(table):
    lost = configuration(2, lost=("a",))
    (record,) = build_domain_freed_records(lost, table)
    assert table.apply(record)
    assert build_domain_freed_records(lost, table) == []
    assert table.unassigned_share("acme") == Share(45_000, 5_000)
    assert not table.apply(move_record("a", 1, Share(1, 0), "b"))
    assert table.apply(appointment_record("a", builds_on=2, version=3))
    late_record = DomainFreed(
        record_id="l", domain="a", epoch=3, configuration_version=2
    )
    assert not table.apply(late_record)


def test_predecessors_are_kept_until_a_grantor_is_active(table):
    table.apply(appointment_record("a", builds_on=1, host="second"))
    table.apply(appointment_record("a", builds_on=2, host="third"))
    host_ids = [daemon.host_id for daemon in table.grantor_of("a").predecessors]
    assert host_ids == ["a-h", "a-second"]
    assert table.apply(GrantorActivated(record_id="r", domain="a", epoch=3))
    assert table.grantor_of("a").predecessors == ()


def test_a_snapshot_contains_the_whole_table(table):
    encoded = encode_record(table.snapshot("s", 7))
    snapshot = decode_record(LogStream.SHARES, encoded)
    restored = ShareTable()
    restored.restore(snapshot)
    assert restored == table
    with pytest.raises(msgspec.ValidationError):
        decode_record(LogStream.SHARES, b'{"kind":"upstream-left"}')
