"""A change is published at most once, even if appends fail or are delayed."""

from functools import partial

import pytest
import trio
import trio.testing
from fake_log import AppendResult, FakeLog
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Raw

from mangospoke.logservice.records import (
    ConfigurationChanged,
    ConfigurationSnapshot,
    LogStream,
    decode_record,
)
from mangospoke.publication.publishing import (
    AlreadyActive,
    ChangeConflict,
    HistoryUnavailable,
    Published,
    UnknownOutcome,
    publish_sections,
)
from mangospoke.state.configuration import ConfigurationState

FIRST = {"domains": b"{}", "account/acme": b'{"rate":1}'}
SECOND = {"domains": b"{}", "account/acme": b'{"rate":2}'}
THIRD = {"domains": b"{}", "account/brum": b'{"rate":3}'}


def _apply_all(log):
    state = ConfigurationState()
    versions = []
    for stored in log.stored:
        if state.apply(decode_record(LogStream.CONFIGURATION, bytes(stored.content))):
            versions.append(state.version)
    return state, versions


def _change(builds_on, rate, author):
    sections = {"account/acme": Raw(b'{"rate":%d}' % rate)}
    return ConfigurationChanged(
        record_id=f"{author}-{rate}",
        builds_on=builds_on,
        sections=sections,
        author=author,
    )


async def test_only_what_changed_is_appended(autojump_clock):
    log = FakeLog()
    assert await publish_sections(log, FIRST, "ann", 9) == Published(1)
    assert await publish_sections(log, FIRST, "ann", 9) == AlreadyActive(1)
    assert await publish_sections(log, THIRD, "ann", 9) == Published(2)
    record = decode_record(LogStream.CONFIGURATION, bytes(log.stored[-1].content))
    assert list(record.sections) == ["account/brum"]
    assert record.removed == ("account/acme",)
    assert log.appends == 2


@pytest.mark.parametrize("append_result", AppendResult)
async def test_a_failed_append_takes_effect_once(autojump_clock, append_result):
    log = FakeLog([append_result, append_result])
    assert await publish_sections(log, FIRST, "ann", 60) == Published(1)
    log.store_delayed()
    state, versions = _apply_all(log)
    assert state.sections == FIRST
    assert versions == [1]
    assert len({bytes(stored.content) for stored in log.stored}) == 1
    if append_result is AppendResult.RESPONSE_LOST:
        assert log.appends == 1


async def test_a_delayed_copy_does_not_restore_a_replaced_configuration(autojump_clock):
    log = FakeLog([AppendResult.DELAYED, AppendResult.STORED])
    log.read = partial(_read_without_delayed, log)
    assert await publish_sections(log, FIRST, "ann", 60) == Published(1)
    assert await publish_sections(log, SECOND, "bob", 60) == Published(2)
    log.store_delayed()
    state, versions = _apply_all(log)
    assert (state.sections, versions) == (SECOND, [1, 2])


async def _read_without_delayed(log, stream, from_offset, wait_ms):
    delayed, log._delayed = log._delayed, []
    try:
        return await FakeLog.read(log, stream, from_offset, wait_ms)
    finally:
        log._delayed = delayed


async def test_a_conflict_names_the_author_of_the_accepted_change(autojump_clock):
    log = FakeLog()
    await publish_sections(log, FIRST, "ann", 9)
    append = log.append

    async def append_second(stream, record):
        log.store(_change(1, 7, "bob"))
        return await append(stream, record)

    log.append = append_second
    assert await publish_sections(log, SECOND, "ann", 9) == ChangeConflict(2, "bob")
    state, _ = _apply_all(log)
    assert state.sections["account/acme"] == b'{"rate":7}'


async def test_a_change_that_is_accepted_and_then_replaced_was_published(
    autojump_clock,
):
    log = FakeLog([AppendResult.RESPONSE_LOST])
    append = log.append

    async def append_and_replace(stream, record):
        try:
            return await append(stream, record)
        finally:
            log.store(_change(1, 9, "bob"))

    log.append = append_and_replace
    assert await publish_sections(log, FIRST, "ann", 9) == Published(1)


async def test_an_outage_reports_whether_the_change_may_be_published(autojump_clock):
    log = FakeLog([AppendResult.RESPONSE_LOST] * 99)
    log.failing_reads = 10**6
    outcome = await publish_sections(log, FIRST, "ann", 20)
    assert outcome == UnknownOutcome(False, "down")
    log.failing_reads = 0
    append = log.append

    async def append_before_outage(stream, record):
        log.failing_reads = 10**6
        return await append(stream, record)

    log.append = append_before_outage
    outcome = await publish_sections(log, FIRST, "ann", 20)
    assert outcome == UnknownOutcome(True, "down")
    # The retry finds that the first append was stored.
    log.failing_reads = 0
    assert await publish_sections(log, FIRST, "ann", 20) == AlreadyActive(1)


async def test_after_a_gap_a_rejected_change_does_not_count_as_active(
    autojump_clock,
):
    log = FakeLog()
    log.store(_change(0, 1, "ann"))
    log.store(_change(0, 2, "bob"))
    log.first_offset = 1
    assert await publish_sections(log, SECOND, "cid", 9) == HistoryUnavailable()
    sections = {"account/acme": Raw(b'{"rate":1}')}
    stale = ConfigurationSnapshot(record_id="s", covers=0, version=0, sections=sections)
    log.store(stale)
    assert await publish_sections(log, SECOND, "cid", 9) == HistoryUnavailable()
    snapshot = ConfigurationSnapshot(
        record_id="s", covers=2, version=1, sections=sections
    )
    log.store(snapshot)
    assert await publish_sections(log, THIRD, "cid", 9) == Published(2)


FATES = st.lists(st.sampled_from(AppendResult), max_size=12)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(FATES, st.lists(st.integers(0, 3), min_size=1, max_size=4))
def test_of_operators_at_once_exactly_one_wins_each_version(fates, rates):
    log = FakeLog(fates)
    outcomes = {}

    async def publish(author, rate):
        wanted = {"account/acme": b'{"rate":%d}' % rate}
        outcomes[author] = await publish_sections(log, wanted, author, 300)

    async def publish_all():
        async with trio.open_nursery() as nursery:
            for index, rate in enumerate(rates):
                nursery.start_soon(publish, f"operator {index}", rate)

    trio.run(publish_all, clock=trio.testing.MockClock(autojump_threshold=0))
    log.store_delayed()
    _check_outcomes(log, outcomes)


def _check_outcomes(log, outcomes):
    state = ConfigurationState()
    authors_by_version = {}
    for stored in log.stored:
        record = decode_record(LogStream.CONFIGURATION, bytes(stored.content))
        if state.apply(record):
            authors_by_version[state.version] = record.author
    published = {
        outcome.version: author
        for author, outcome in outcomes.items()
        if isinstance(outcome, Published)
    }
    assert published == authors_by_version
    for author, outcome in outcomes.items():
        if isinstance(outcome, ChangeConflict):
            assert outcome.author in authors_by_version.values()
            assert outcome.author != author
        assert not isinstance(outcome, UnknownOutcome | HistoryUnavailable)
