"""How a leaf matches replies to requests and is told to stop."""

from typing import Protocol

import attrs

from clementinebank.http import HttpRequest, HttpResponse

DRAINING = 503


class LeafProtocol(Protocol):
    """What a pool needs to know of the interface of its leaf."""

    @property
    def allows_unframed(self) -> bool:
        """Whether a response may end with its connection."""

    @property
    def sends_late_responses(self) -> bool:
        """Whether a response to an earlier request may come before the own."""

    def echoed_id(self, response: HttpResponse) -> str | None:
        """Return the id of the request that the response answers."""

    def cancel_request(self, call_id: str) -> HttpRequest | None:
        """Return the message that cancels a call, ``None`` without one."""

    def ends_connection(self, response: HttpResponse) -> bool:
        """Return whether no further call may use the connection."""


@attrs.frozen
class SearchLeafProtocol:
    """Interface of the leafs that the document names."""

    allows_unframed: bool = False
    sends_late_responses: bool = False

    def echoed_id(self, response: HttpResponse) -> str | None:
        """Return the id of the request that the response answers."""
        return response.headers.get('request-id')

    def cancel_request(self, call_id: str) -> HttpRequest | None:
        """Return the message that cancels a call."""
        return HttpRequest('DELETE', f'/v1/requests/{call_id}')

    def ends_connection(self, response: HttpResponse) -> bool:
        """Return whether the leaf drains."""
        return response.status == DRAINING
