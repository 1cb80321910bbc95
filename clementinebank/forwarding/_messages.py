"""Messages of a forwarded request."""

from typing import Protocol

import attrs

from clementinebank.errors import Execution, Failure
from clementinebank.http import HttpRequest, HttpResponse
from clementinebank.upstream import LeafProtocol


@attrs.frozen
class ForwardRequest:
    """One request of a caller that goes to leafs as it is.

    Parameters
    ----------
    request_id : str
        Id that the caller gave.
    deadline : float
        Runtime time in seconds until which the caller waits.
    message : HttpRequest
        What the caller sent.
    """

    request_id: str
    deadline: float
    message: HttpRequest


@attrs.frozen
class LeafLoad:
    """Load that a leaf reported.

    Parameters
    ----------
    running, waiting : int
        Requests in its slots and in its queue.
    """

    running: int
    waiting: int


@attrs.frozen
class LeafAnswer:
    """Response of a leaf that ran the request or stated that it did not.

    Parameters
    ----------
    response : HttpResponse
        What the leaf sent.
    execution : Execution
        Whether the leaf ran the request.
    signature : str
        Proof of the leaf that it made this response; empty without one.
    is_success : bool
        Whether it is a whole and signed success.
    load : LeafLoad or None
        Load that the leaf reported.
    """

    response: HttpResponse
    execution: Execution
    signature: str = ''
    is_success: bool = False
    load: LeafLoad | None = None


@attrs.frozen
class GatheredAnswer:
    """Merged records of several shards.

    Parameters
    ----------
    signatures : tuple of str
        Signatures of the parts, one for each shard that is included.
    missing : int
        Shards that are left out.
    body : bytes
        Records, greatest first.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


Answer = LeafAnswer | GatheredAnswer


class LeafCodec(Protocol):
    """Translates between forwarded requests and the interface of leafs."""

    @property
    def protocol(self) -> LeafProtocol:
        """How replies are matched to calls."""

    def encode(
        self, request: ForwardRequest, leaf_id: str, remaining_ms: int
    ) -> HttpRequest:
        """Return the request to a leaf.

        Parameters
        ----------
        request : ForwardRequest
            Request of the caller.
        leaf_id : str
            Leaf that has to run it; another one must refuse.
        remaining_ms : int
            Time that is left, in milliseconds.
        """

    def decode(self, response: HttpResponse) -> LeafAnswer:
        """Return what the response of a leaf says."""


class CallerCodec(Protocol):
    """Translates between the interface of callers and forwarded requests."""

    def decode(self, message: HttpRequest) -> ForwardRequest:
        """Return the request of a caller.

        Raises
        ------
        Failure
            If a header is missing or malformed; names the header.
        """

    def encode(self, request_id: str, answer: Answer) -> HttpResponse:
        """Return the response that carries an answer."""

    def encode_failure(
        self, request_id: str, failure: Failure, retry_after_s: float
    ) -> HttpResponse:
        """Return the response that carries a refusal or a failure."""
