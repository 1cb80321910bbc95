"""Requests, responses and answers of forwarding, and their codecs."""

from typing import Protocol

import attrs

from clementinebank.errors import Execution, Failure
from clementinebank.http import HttpRequest, HttpResponse
from clementinebank.ratelimit import NamedLimit
from clementinebank.upstream import LeafProtocol


@attrs.frozen
class ForwardRequest:
    """One request of a caller that is forwarded to leafs unchanged.

    Parameters
    ----------
    request_id : str
        Id that the caller gave the request.
    deadline : float
        Runtime time in seconds until which the caller waits.
    http_request : HttpRequest
        HTTP request of the caller.
    account : str
        Client account of the caller; empty if the deployment has none.
    priority : int
        Priority of the request; 0 is the highest.
    regions : frozenset of str or None
        Regions that may run the request; ``None`` allows all.
    api_key : str
        Key of the caller until its account is known; afterwards, and if it
        gave none, empty. It never leaves this instance.
    route_version : int or None
        Version in force when the route of the request was found; ``None`` if
        another instance found it. It is only logged.
    """

    request_id: str
    deadline: float
    http_request: HttpRequest
    account: str = ''
    priority: int = 0
    regions: frozenset[str] | None = None
    api_key: str = attrs.field(default='', repr=False)
    route_version: int | None = None


@attrs.frozen
class LeafLoad:
    """Load that a leaf reported with a response.

    Parameters
    ----------
    running, waiting : int
        Requests that the leaf serves, and requests in its queue.
    slowness : float or None
        Time that work takes on the machine of the leaf at this moment, as a
        multiple of the usual; ``None`` if it isn't stated.
    """

    running: int
    waiting: int
    slowness: float | None = None


@attrs.frozen
class LeafResponse:
    """Response of a leaf that ran the request or stated that it did not.

    Parameters
    ----------
    response : HttpResponse
        HTTP response of the leaf.
    execution : Execution
        Whether the leaf ran the request.
    signature : str
        Proof of the leaf that it made this response; empty if it sent none.
    is_success : bool
        Whether it is a complete, signed response with a success status.
    load : LeafLoad or None
        Load that the leaf reported, ``None`` if it reported none.
    named_limit : NamedLimit or None
        What it states about the rate limit of the leaf, ``None`` if nothing.
    is_leaving : bool
        Whether the leaf says that it leaves and wants no new requests.
    retry_after_s : float or None
        Time in seconds for which the leaf wants nothing from this instance,
        ``None`` if it doesn't turn requests away.
    cold_s : float or None
        Time in seconds for which the leaf is still cold, ``None`` if it
        doesn't state that.
    malformed : tuple of str
        Names of statements of the leaf that can't be read.
    """

    response: HttpResponse
    execution: Execution
    signature: str = ''
    is_success: bool = False
    load: LeafLoad | None = None
    named_limit: NamedLimit | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    cold_s: float | None = None
    malformed: tuple[str, ...] = ()


@attrs.frozen
class MergedAnswer:
    """Answer with the merged records of several shards.

    Parameters
    ----------
    signatures : tuple of str
        Signatures of the merged responses, one for each included shard.
    missing : int
        Number of shards that are left out.
    body : bytes
        Records, greatest first.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


Answer = LeafResponse | MergedAnswer


class LeafCodec(Protocol):
    """Translates between forwarded requests and the interface of leafs."""

    @property
    def protocol(self) -> LeafProtocol:
        """Rules for matching replies to calls and for cancelling calls."""

    def encode(
        self, request: ForwardRequest, leaf_id: str, remaining_ms: int
    ) -> HttpRequest:
        """Return the HTTP request that is sent to a leaf.

        Parameters
        ----------
        request : ForwardRequest
            Request of the caller.
        leaf_id : str
            Id of the leaf that has to run the request; any other leaf must
            refuse it.
        remaining_ms : int
            Time until the deadline of the call, in milliseconds.
        """

    def decode(self, response: HttpResponse) -> LeafResponse:
        """Return the response with its execution, signature and load."""


class CallerCodec(Protocol):
    """Translates between the interface of callers and forwarded requests."""

    def decode(self, http_request: HttpRequest) -> ForwardRequest:
        """Return the forwarded request for an HTTP request of a caller.

        Raises
        ------
        Failure
            If a header is missing or malformed; the message names the header.
        """

    def encode(self, request_id: str, answer: Answer) -> HttpResponse:
        """Return the HTTP response to the caller for an answer."""

    def encode_failure(
        self, request_id: str, failure: Failure, retry_after_s: float
    ) -> HttpResponse:
        """Return the HTTP response to the caller for a refusal or failure.

        Parameters
        ----------
        request_id : str
            Id of the request.
        failure : Failure
            Reason of the refusal or the failure.
        retry_after_s : float
            Seconds after which the caller may try again.
        """
