"""Rules for matching replies, cancelling calls and ending connections."""

from typing import Protocol

import attrs

from clementinebank.http import HttpRequest, HttpResponse

REQUEST_ID = 'request-id'
# HTTP status of a draining leaf.
DRAINING_STATUS = 503
DECIDING_HEADERS = frozenset((REQUEST_ID,))


def repeated_reason(
    response: HttpResponse, deciding: frozenset[str]
) -> str | None:
    """Return a reason if a header that decides is given more than once.

    Parameters
    ----------
    response : HttpResponse
        Response of a leaf.
    deciding : frozenset of str
        Names of the headers that decide what becomes of a request.
    """
    repeated = response.repeated & deciding
    if not repeated:
        return None
    return f'more than one {", ".join(sorted(repeated))} in the response'


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

    def invalid_reason(self, response: HttpResponse) -> str | None:
        """Return why the response can't be an answer; ``None`` if it can."""

    def is_conclusive(self, response: HttpResponse) -> bool:
        """Return whether no request with the echoed id is sent afterwards.

        Otherwise a late copy of the response could be taken for the answer to
        a later send, which therefore uses another connection.
        """


@attrs.frozen
class SearchLeafProtocol:
    """Protocol of the search leafs that the document lists."""

    allows_close_delimited: bool = False
    allows_late_responses: bool = False

    def echoed_id(self, response: HttpResponse) -> str | None:
        """Return the id of the request that the response answers."""
        return response.headers.get(REQUEST_ID)

    def cancel_request(self, call_id: str) -> HttpRequest | None:
        """Return the message that cancels a call."""
        return HttpRequest('DELETE', f'/v1/requests/{call_id}')

    def requires_close(self, response: HttpResponse) -> bool:
        """Return whether the response has the status of a draining leaf."""
        return response.status == DRAINING_STATUS

    def invalid_reason(self, response: HttpResponse) -> str | None:
        """Return a reason if the response has more than one id."""
        return repeated_reason(response, DECIDING_HEADERS)

    def is_conclusive(self, response: HttpResponse) -> bool:
        """Return true: each send of a request has an id of its own."""
        return True
