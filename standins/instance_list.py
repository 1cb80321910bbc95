"""Stand-in for the platform's instance list, which a test sets."""

import argparse

import attrs

from clementinebank.clock import run_service
from clementinebank.http import HttpRequest, HttpResponse, json_response
from standins._control import pause, serve_with_control


@attrs.define
class ListFaults:
    """Content and faults that a test can set.

    Parameters
    ----------
    instances : list of dict
        ``instance_id``, ``address`` of the peers listener, ``data_centre``
        and ``state`` (``live`` or ``leaving``).
    down : bool
        Refuse every call with 503.
    delay_ms : float
        Delay of every answer.
    """

    instances: list[dict[str, str]] = attrs.Factory(list)
    down: bool = False
    delay_ms: float = 0


@attrs.define
class InstanceListService:
    """Answers with the instances that were set."""

    faults: ListFaults = attrs.Factory(ListFaults)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        await pause(self.faults.delay_ms)
        if self.faults.down:
            return json_response(503, {'code': 'unavailable'})
        if request.path != '/v1/instances':
            return json_response(404, {'code': 'unknown_path'})
        return json_response(200, {'instances': self.faults.instances})


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', default='127.0.0.1:9701')
    host, _, port = parser.parse_args().listen.rpartition(':')
    service = InstanceListService()
    run_service(
        serve_with_control, host, int(port), service.handle, service.faults
    )


if __name__ == '__main__':
    main()
