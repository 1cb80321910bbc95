"""Interface and HTTP client of the platform's key-value service."""

import json
import re
from typing import Protocol
from urllib.parse import quote, urlencode

import attrs
import curio
from result import Err, Ok, Result

from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import (
    HttpConnection,
    HttpProtocolError,
    HttpRequest,
    HttpResponse,
)
from clementinebank.validation import Address

VERSION_HEADER = 'version'
MAX_VALUE_BYTES = 1_000_000
CALL_TIMEOUT_S = 2.0
# Largest number of entries in one page if the caller gives no limit.
DEFAULT_PAGE_ENTRIES = 100
VERSION_PATTERN = re.compile('[0-9]{1,20}')
# Errors that a malformed listing can cause while it is decoded.
_MALFORMED_LISTING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)


@attrs.frozen
class Entry:
    """Value of a key with its version.

    Parameters
    ----------
    value : bytes
        Stored bytes, at most ``MAX_VALUE_BYTES``; empty if the key is absent.
    version : int
        Number that changes with every write; 0 if the key is absent.
    """

    value: bytes
    version: int


@attrs.frozen
class ListedEntry:
    """Key and entry in a listing.

    Parameters
    ----------
    key : str
        Key of the entry.
    entry : Entry
        Its value and version.
    """

    key: str
    entry: Entry


@attrs.frozen
class ListingPage:
    """Consecutive part of a listing, in the order of the keys.

    Parameters
    ----------
    entries : tuple of ListedEntry
        Entries of this page.
    is_last : bool
        True means that no entry follows. A full page has false, although it
        may be the last one.
    """

    entries: tuple[ListedEntry, ...]
    is_last: bool


class KeyValueService(Protocol):
    """Interface of the platform's key-value service."""

    calls: int

    async def read(self, key: str) -> Result[Entry, Failure]:
        """Read the entry of a key, with version 0 if it is absent."""
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, version: int
    ) -> Result[Entry, Failure]:
        """Write the value if the stored version is still the given one.

        After a failure of code ``version_mismatch`` the value was not
        written, and after one of execution ``not_run`` no byte was sent. After
        any other failure it is unknown whether the write takes effect, which
        may also happen later.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New value.
        version : int
            Version that the caller has read; 0 if the key was absent.

        Returns
        -------
        Result
            The written value with its new version, or the failure.
        """
        ...

    async def watch(
        self, key: str, version: int, wait_ms: int
    ) -> Result[Entry | None, Failure]:
        """Wait until the version of a key differs and return its entry.

        ``None`` means that it did not change within ``wait_ms``.
        """
        ...

    async def list_page(
        self, prefix: str, after: str = '', limit: int = DEFAULT_PAGE_ENTRIES
    ) -> Result[ListingPage, Failure]:
        """Return at most ``limit`` entries whose keys follow ``after``."""
        ...

    async def delete(self, key: str, version: int) -> Result[Entry, Failure]:
        """Delete the entry if the stored version is still the given one.

        Failures mean the same as for ``compare_and_swap``.
        """
        ...


@attrs.define
class HttpKeyValueService:
    """Client of the key-value service over HTTP/1.1.

    Parameters
    ----------
    address : Address
        Address at which the service listens.
    timeout_s : float
        Time limit of a call in seconds; a watch may take ``wait_ms`` longer.
    calls : int
        Number of calls that were started.
    """

    address: Address
    timeout_s: float = CALL_TIMEOUT_S
    calls: int = 0

    async def read(self, key: str) -> Result[Entry, Failure]:
        """Read the entry of a key, with version 0 if it is absent."""
        reply = await self._call(
            HttpRequest('GET', _target(key)), Step.READ_HEAD, self.timeout_s
        )
        return reply.map(_entry_of)

    async def compare_and_swap(
        self, key: str, value: bytes, version: int
    ) -> Result[Entry, Failure]:
        """Write the value if the stored version is still the given one."""
        return await self._write('PUT', key, value, version)

    async def delete(self, key: str, version: int) -> Result[Entry, Failure]:
        """Delete the entry if the stored version is still the given one."""
        return await self._write('DELETE', key, b'', version)

    async def list_page(
        self, prefix: str, after: str = '', limit: int = DEFAULT_PAGE_ENTRIES
    ) -> Result[ListingPage, Failure]:
        """Return at most ``limit`` entries whose keys follow ``after``."""
        query = urlencode(
            {'prefix': prefix, 'after_key': after, 'limit': limit}
        )
        reply = await self._call(
            HttpRequest('GET', f'/v1/keys?{query}'),
            Step.READ_HEAD,
            self.timeout_s,
        )
        return reply.and_then(lambda response: self._page_of(response, limit))

    async def watch(
        self, key: str, version: int, wait_ms: int
    ) -> Result[Entry | None, Failure]:
        """Wait until the version of a key differs and return its entry.

        ``None`` means that it did not change within ``wait_ms``.
        """
        target = f'{_target(key)}?after={version}&wait_ms={wait_ms}'
        reply = await self._call(
            HttpRequest('GET', target),
            Step.READ_HEAD,
            self.timeout_s + wait_ms / 1000,
        )
        return reply.map(
            lambda response: (
                None if response.status == 304 else _entry_of(response)
            )
        )

    async def _write(
        self, method: str, key: str, value: bytes, version: int
    ) -> Result[Entry, Failure]:
        request = HttpRequest(
            method, f'{_target(key)}?version={version}', body=value
        )
        reply = await self._call(request, Step.SWAP, self.timeout_s)
        if isinstance(reply, Err):
            return reply
        response = reply.ok_value
        if response.status == 409:
            return Err(
                self._failure(
                    'version_mismatch', 'the version has changed', Step.SWAP
                )
            )
        return Ok(Entry(value, _version_of(response)))

    def _page_of(
        self, response: HttpResponse, limit: int
    ) -> Result[ListingPage, Failure]:
        try:
            body = json.loads(response.body)
            listed = tuple(
                ListedEntry(
                    str(each['key']),
                    Entry(each['value'].encode(), int(each['version'])),
                )
                for each in body['entries']
            )
        except _MALFORMED_LISTING_ERRORS as error:
            message = f'invalid listing: {error!r}'
            return Err(
                self._failure('key_value_malformed', message, Step.READ_HEAD)
            )
        return Ok(ListingPage(listed, is_last=len(listed) < limit))

    async def _call(
        self, request: HttpRequest, step: Step, timeout_s: float
    ) -> Result[HttpResponse, Failure]:
        self.calls += 1
        connection = HttpConnection(self.address.host, self.address.port)
        try:
            async with curio.timeout_after(timeout_s):
                await connection.connect()
                response = await connection.request(request)
        except curio.TaskTimeout:
            message = f'no answer within {timeout_s} s'
            failure = self._failure('key_value_timeout', message, step)
            return Err(_with_execution(failure, connection))
        except (OSError, HttpProtocolError) as error:
            failure = self._failure('key_value_unreachable', str(error), step)
            return Err(_with_execution(failure, connection))
        finally:
            await connection.close()
        version = response.headers.get(VERSION_HEADER, '0')
        if not VERSION_PATTERN.fullmatch(version):
            message = f'the version is no number: {version!r}'
            return Err(self._failure('key_value_malformed', message, step))
        if response.status in {200, 304, 404, 409}:
            return Ok(response)
        message = f'status {response.status}'
        return Err(self._failure('key_value_refused', message, step))

    def _failure(self, code: str, message: str, step: Step) -> Failure:
        return Failure(
            code,
            message,
            step,
            peer=str(self.address),
            execution=Execution.UNKNOWN,
        )


def _with_execution(failure: Failure, connection: HttpConnection) -> Failure:
    """Return the failure as ``not_run`` if no byte was sent."""
    if connection.bytes_sent:
        return failure
    return attrs.evolve(failure, execution=Execution.NOT_RUN)


def _target(key: str) -> str:
    return f'/v1/keys/{quote(key, safe="")}'


def _version_of(response: HttpResponse) -> int:
    return int(response.headers.get(VERSION_HEADER, '0'))


def _entry_of(response: HttpResponse) -> Entry:
    if response.status == 404:
        return Entry(b'', _version_of(response))
    return Entry(response.body, _version_of(response))
