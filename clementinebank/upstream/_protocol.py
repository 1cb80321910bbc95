"""Rules for matching replies, cancelling calls and ending connections."""

from typing import Protocol

import attrs

from clementinebank.http import HttpRequest, HttpResponse

# HTTP status of a draining leaf.
DRAINING_STATUS = 503


class LeafProtocol(Protocol):
    """Properties of the interface of a leaf that its pool depends on."""

    @property
    def allows_close_delimited(self) -> bool:
        """Return whether a response without a length may end at the close."""

    @property
    def allows_late_responses(self) -> bool:
        """Return whether a late response to an earlier request can arrive.

        It then precedes the response to the current request.
        """

    def echoed_id(self, response: HttpResponse) -> str | None:
        """Return the id of the request that the response answers."""

    def cancel_request(self, call_id: str) -> HttpRequest | None:
        """Return the message that cancels a call; ``None`` if there is none."""

    def requires_close(self, response: HttpResponse) -> bool:
        """Return whether no further call may use the connection."""


@attrs.frozen
class SearchLeafProtocol:
    """Protocol of the search leafs that the document lists."""

    allows_close_delimited: bool = False
    allows_late_responses: bool = False

    def echoed_id(self, response: HttpResponse) -> str | None:
        """Return the id of the request that the response answers."""
        return response.headers.get('request-id')

    def cancel_request(self, call_id: str) -> HttpRequest | None:
        """Return the message that cancels a call."""
        return HttpRequest('DELETE', f'/v1/requests/{call_id}')

    def requires_close(self, response: HttpResponse) -> bool:
        """Return whether the response has the status of a draining leaf."""
        return response.status == DRAINING_STATUS
