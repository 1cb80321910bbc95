"""Tests of the faults that the stand-ins inject.

The soak and the process tests rely on the injected faults and on the requests
that the stand-ins record. A fault without its documented effect would let
those tests pass without the failure they are meant to inject.
"""

import json
from pathlib import Path

import curio
import yaml

from clementinebank.document import parse_document
from clementinebank.http import HttpRequest
from standins.kv import KeyValueStore
from standins.leaf import StandInLeaf

DOCUMENT = (
    Path(__file__).parent.parent.parent / 'examples' / 'kumagawa-small.yaml'
)


def _call(target, method, path, body=b'', query='', **headers):
    request = HttpRequest(method, f'{path}?{query}', headers, body)
    return curio.run(target.handle, request)


def _set_faults(store, **faults):
    for name, field_value in faults.items():
        setattr(store.faults, name, field_value)
    curio.run(store.on_control)


def _put(store, key, value, version):
    reply = _call(store, 'PUT', f'/v1/keys/{key}', value, f'version={version}')
    assert reply.status == 200
    return int(reply.headers['version'])


def test_restore_uses_new_versions():
    store = KeyValueStore()
    first = _put(store, 'a', b'old', 0)
    kept = _put(store, 'b', b'same', 0)
    _set_faults(store, snapshot=True)
    second = _put(store, 'a', b'new', first)
    created = _put(store, 'c', b'later', 0)
    _set_faults(store, restore=True)
    restored = _call(store, 'GET', '/v1/keys/a')
    assert restored.body == b'old'
    assert int(restored.headers['version']) > max(second, created)
    assert _call(store, 'GET', '/v1/keys/b').headers['version'] == str(kept)
    assert _call(store, 'GET', '/v1/keys/c').status == 404
    assert not store.faults.restore


def test_restore_of_a_prefix_keeps_other_keys():
    store = KeyValueStore()
    _set_faults(store, snapshot=True)
    _put(store, 'a', b'new', 0)
    _put(store, 'b', b'new', 0)
    _set_faults(store, restore=True, restore_prefix='a')
    assert _call(store, 'GET', '/v1/keys/a').status == 404
    assert _call(store, 'GET', '/v1/keys/b').body == b'new'


def _make_leaf():
    texts = {
        name: yaml.safe_dump(section)
        for name, section in yaml.safe_load(DOCUMENT.read_text()).items()
    }
    document = parse_document(texts, 1).unwrap()
    service = document.services_by_name['pickup-desk']
    group = service.groups_by_id['group-01']
    return StandInLeaf(service, group, group.leafs_by_id['pickup-desk-01-a'])


def _search(leaf, query, snapshot='s-1'):
    body = json.dumps({'query': query, 'limit': 9, 'partitions': [2]}).encode()
    return _call(leaf, 'POST', '/v1/search', body, snapshot=snapshot)


def test_records_name_their_snapshot_and_query():
    leaf = _make_leaf()
    leaf.faults.sequences = [1, 2]
    for snapshot in ('s-1', 's-2'):
        reply = json.loads(_search(leaf, 'wool#r1', snapshot).body)
        assert [each['fields'] for each in reply['records']] == [
            {'goods': 'wool', 'query': 'wool#r1', 'snapshot': snapshot}
        ]
    assert leaf.identified_queries == {'wool#r1'}


def test_repartitioning_moves_partitions():
    leaf = _make_leaf()
    leaf.faults.sequences = [1, 2]
    leaf.faults.partitions_per_group = {'2': 3}
    status = json.loads(_call(leaf, 'GET', '/v1/status').body)
    assert [each['partitions'] for each in status['snapshots']] == [
        [2, 3],
        [3, 4, 5],
    ]
    assert [each['partition_count'] for each in status['snapshots']] == [8, 12]


def test_work_after_the_drain_signal_is_recorded():
    leaf = _make_leaf()
    _search(leaf, 'wool#r1')
    leaf.faults.state = 'draining'
    _call(leaf, 'GET', '/v1/status')
    assert not leaf.drain_arrivals
    _search(leaf, 'wool#r2')
    assert len(leaf.drain_arrivals) == 1
    assert leaf.drain_arrivals[0]['since_s'] >= 0
    leaf.faults.state = 'serving'
    _call(leaf, 'GET', '/v1/status')
    assert leaf.drain_signalled_at is None
