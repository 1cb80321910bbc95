"""Guards against a key-value service whose answer names no valid version.

The error of the conversion ended the task of a booking, whose claim then stayed
as it was.
"""

import pytest

from clementinebank.clock import FakeClockKernel
from clementinebank.coordination import HttpKeyValueService
from clementinebank.coordination import _key_value as key_value_module
from clementinebank.http import HttpResponse
from clementinebank.validation import Address


class FakeConnection:
    """Connection whose answer has a malformed version."""

    bytes_sent = 1
    version = ''

    def __init__(self, host, port):
        self.address = (host, port)

    async def connect(self):
        return None

    async def request(self, message):
        return HttpResponse(200, {'version': self.version})

    async def close(self):
        return None


@pytest.mark.parametrize('version', ['7, 8', '-1', '', '9' * 5000])
@pytest.mark.parametrize(
    ('method', 'arguments'),
    [('read', ('k',)), ('compare_and_swap', ('k', b'', 7))],
)
def test_malformed_version_is_a_failure(
    method, arguments, version, monkeypatch
):
    monkeypatch.setattr(FakeConnection, 'version', version)
    monkeypatch.setattr(key_value_module, 'HttpConnection', FakeConnection)
    service = HttpKeyValueService(Address('127.0.0.1', 1))
    with FakeClockKernel() as kernel:
        outcome = kernel.run(getattr(service, method), *arguments)
    assert outcome.err_value.code == 'key_value_malformed'
