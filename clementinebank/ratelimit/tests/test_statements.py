"""Guards the statements of leafs about their limits.

A malformed, old or foreign statement must neither start nor end a limit, and
tokens must not be saved by a process that stands still.
"""

import random

import pytest

from clementinebank.errors import Execution
from clementinebank.http import HttpResponse
from clementinebank.ratelimit import (
    TOKEN_LIFETIME_S,
    LimitCoordinator,
    LimitStatement,
    LimitTable,
    NamedLimit,
    equal_share,
    named_limit_of,
    read_named_limit,
)
from clementinebank.ratelimit._messages import (
    MAX_STATEMENTS,
    Acquisition,
    decode_reply,
    decode_request,
    decode_statements,
    encode_reply,
    encode_request,
    encode_statements,
)
from clementinebank.rpc import RpcProtocolError

NOW = 1000.0


def make_table(per_s=5.0, instance_count=1):
    table = LimitTable(equal_share(instance_count), rng=random.Random(1))
    table.on_named('a', NamedLimit(per_s), NOW, NOW)
    return table


@pytest.mark.parametrize(
    ('text', 'per_s'),
    [
        ('7', 7),
        ('15.1', 15.1),
        (' 0.5 ', 0.5),
        ('.5', 0.5),
        ('3.', 3),
        ('0', 0),
    ],
)
def test_decimal_number_is_a_limit(text, per_s):
    assert read_named_limit(text, is_complete=True) == NamedLimit(per_s)


@pytest.mark.parametrize(
    'text',
    [
        '',
        'many',
        '-1',
        '+1',
        'nan',
        'inf',
        '1e3',
        '1e400',
        '7, 8',
        '7;q=1',
        '0x10',
        '\u0663',
        '1' * 65_536,
    ],
)
def test_other_text_states_nothing(text):
    assert read_named_limit(text, is_complete=True) is None


def test_only_a_whole_response_can_end_a_limit():
    response = HttpResponse(200, {})
    assert named_limit_of(response, Execution.RAN) == NamedLimit(None)
    assert named_limit_of(response, Execution.NOT_RUN) is None
    named = HttpResponse(429, {'rate-limit': '5'})
    assert named_limit_of(named, Execution.NOT_RUN) == NamedLimit(5)
    assert named_limit_of(named, Execution.UNKNOWN) is None


def test_response_to_an_earlier_request_does_not_end_the_limit():
    table = make_table()
    assert not table.on_named('a', NamedLimit(None), NOW - 0.1, NOW + 0.1)
    assert table.limit_of('a') is not None
    assert table.on_named('a', NamedLimit(None), NOW + 0.1, NOW + 0.2)
    assert table.limit_of('a') is None
    assert table.may_send('a', NOW + 0.2)


def test_newest_statement_of_other_instances_wins():
    table = make_table(5.0)
    older = LimitStatement('a', 9.0, NOW - 1)
    table.merge([older], NOW)
    assert table.limit_of('a').per_s == 5
    table.merge([LimitStatement('a', 2.0, NOW + 1)], NOW + 1)
    assert table.limit_of('a').per_s == 2
    assert table.merge([LimitStatement('a', None, NOW + 2)], NOW + 2) == ['a']
    table.merge([LimitStatement('a', 2.0, NOW + 1.5)], NOW + 2)
    assert table.limit_of('a') is None


def test_statement_that_comes_back_is_not_newer():
    table = make_table(5.0)
    for hop in range(1, 5):
        sent_at = NOW + hop
        payload = encode_statements(table.recent_statements(NOW), sent_at)
        received = decode_statements(payload, sent_at + 0.03)
        table.merge(received, sent_at + 0.03)
    assert table.limit_of('a').stated_at == NOW


def test_share_is_not_saved_by_an_idle_or_frozen_instance():
    table = make_table(per_s=10.0)
    later = NOW + 60
    count = 0
    while table.may_send('a', later):
        table.on_sent('a', later, is_extra=False)
        count += 1
    assert count <= 10 * TOKEN_LIFETIME_S + 1


def test_granted_tokens_expire():
    table = make_table()
    table.use_coordinator('a')
    limit = table.limit_of('a')
    limit.on_granted(3, 3, asked_at=NOW, now=NOW + 0.2)
    assert table.may_send('a', NOW + 0.3)
    assert not table.may_send('a', NOW + TOKEN_LIFETIME_S)


def test_coordinator_that_was_frozen_grants_a_small_burst():
    coordinator = LimitCoordinator()
    coordinator.grant('a', 100, 8.0, NOW)
    assert coordinator.grant('a', 100, 8.0, NOW + 60) <= 2


def test_forgotten_leaf_has_no_limit():
    table = make_table()
    table.retain({'b'})
    assert table.may_send('a', NOW)
    assert not table.limits_by_leaf


def test_messages_survive_their_encoding():
    statements = (
        LimitStatement('a', 2.5, NOW - 1),
        LimitStatement('b', None, NOW - 2),
    )
    message = Acquisition(statements, {'a': 3})
    for encode, decode in (
        (encode_request, decode_request),
        (encode_reply, decode_reply),
    ):
        decoded = decode(encode(message, NOW), NOW)
        assert decoded.tokens_by_leaf == {'a': 3}
        assert [each.per_s for each in decoded.known] == [2.5, None]
        for sent, received in zip(statements, decoded.known, strict=True):
            assert received.stated_at == pytest.approx(sent.stated_at, abs=0.1)


def test_messages_are_bounded():
    many = [LimitStatement(f'l-{each}', 1.0, NOW) for each in range(1000)]
    decoded = decode_statements(encode_statements(many, NOW), NOW)
    assert len(decoded) == MAX_STATEMENTS


@pytest.mark.parametrize('per_s', [float('nan'), float('inf'), -1.0])
def test_invalid_rate_of_another_instance_is_rejected(per_s):
    payload = encode_request(
        Acquisition((LimitStatement('a', per_s, NOW),)), NOW
    )
    with pytest.raises(RpcProtocolError, match='per_s'):
        decode_request(payload, NOW)


@pytest.mark.parametrize('payload', [b'', b'\xff\xff', b'\x08'])
def test_malformed_message_is_rejected(payload):
    with pytest.raises(RpcProtocolError):
        decode_request(payload, NOW)
