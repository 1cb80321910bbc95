"""Stand-in for the platform's instance list; a test sets its content."""

import argparse

import attrs

from clementinebank.clock import run_service
from clementinebank.http import HttpRequest, HttpResponse, json_response
from standins._control import serve_with_control, sleep_ms


@attrs.define
class ListFaults:
    """Content of the list and faults, set through the control endpoint.

    Parameters
    ----------
    instances : list of dict
        ``instance_id``, ``address`` of the peers listener, ``data_centre``
        and ``state`` (``live`` or ``leaving``).
    down : bool
        Whether every call is refused with 503.
    delay_ms : float
        Delay of every response, in milliseconds.
    """

    instances: list[dict[str, str]] = attrs.Factory(list)
    down: bool = False
    delay_ms: float = 0


@attrs.define
class InstanceListService:
    """Returns the instances that the test has set."""

    faults: ListFaults = attrs.Factory(ListFaults)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        await sleep_ms(self.faults.delay_ms)
        if self.faults.down:
            return json_response(503, {'code': 'unavailable'})
        if request.path != '/v1/instances':
            return json_response(404, {'code': 'unknown_path'})
        return json_response(200, {'instances': self.faults.instances})


def main() -> None:
    """Run the stand-in until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', default='127.0.0.1:9701')
    host, _, port = parser.parse_args().listen.rpartition(':')
    service = InstanceListService()
    run_service(
        serve_with_control, host, int(port), service.handle, service.faults
    )


if __name__ == '__main__':
    main()
