"""Guards against wrong listings, deletes and failures of the HTTP client.

A listing in pages may skip, repeat or reorder entries, a delete may ignore the
version, and a write that was never sent may be reported as unknown. Most tests
call the handler of the stand-in directly, without sockets.
"""

import attrs
import curio
import pytest
from result import Ok

from clementinebank.coordination import HttpKeyValueService
from clementinebank.errors import Execution
from clementinebank.http import HttpResponse
from clementinebank.validation import Address
from standins.kv import KeyValueStore


@attrs.define
class DirectKeyValueService(HttpKeyValueService):
    store: KeyValueStore = attrs.Factory(KeyValueStore)

    async def _call(self, request, step, timeout_s):
        return Ok(await self.store.handle(request))


@pytest.fixture
def service():
    return DirectKeyValueService(Address('127.0.0.1', 1))


def test_pages_are_whole_and_in_order(service):
    async def run():
        for number in range(7):
            await service.compare_and_swap(f'b/{number}', b'x', 0)
        await service.compare_and_swap('c/0', b'x', 0)
        keys, pages, after, is_last = [], 0, '', False
        while not is_last:
            page = (await service.list_page('b/', after, 3)).unwrap()
            keys += [each.key for each in page.entries]
            after, is_last, pages = keys[-1], page.is_last, pages + 1
        return keys, pages

    keys, pages = curio.run(run)
    assert keys == [f'b/{number}' for number in range(7)]
    assert pages == 3


def test_delete_needs_the_version(service):
    async def run():
        written = (await service.compare_and_swap('key', b'x', 0)).unwrap()
        refused = await service.delete('key', written.version + 1)
        kept = (await service.read('key')).unwrap()
        gone = await service.delete('key', written.version)
        absent = (await service.read('key')).unwrap()
        return refused.unwrap_err().code, kept, gone.is_ok(), absent.version

    code, kept, is_gone, version = curio.run(run)
    assert code == 'version_mismatch'
    assert kept.value == b'x'
    assert is_gone
    assert version == 0


@pytest.mark.parametrize(
    'entry',
    [
        b'{}',
        b'{"key": "k", "value": "v", "version": "x"}',
        b'{"key": "k", "value": "v", "version": 1e400}',
        b'{"key": "k", "value": "\\ud800", "version": 1}',
    ],
)
def test_malformed_listing_is_a_failure(service, entry):
    body = b'{"entries": [%b]}' % entry
    page = service._page_of(HttpResponse(200, {}, body), 9)
    assert page.unwrap_err().code == 'key_value_malformed'


def test_unsent_write_is_stated_as_not_run():
    # Nothing listens on port 1, so no byte is sent.
    service = HttpKeyValueService(Address('127.0.0.1', 1))
    written = curio.run(service.compare_and_swap, 'key', b'x', 0)
    assert written.unwrap_err().execution is Execution.NOT_RUN
