"""Guards leafs that name a rate limit, with searches and bookings.

Both kinds of requests use the same router. A leaf in need must not get more
requests from all instances together than it names, a booking that can't be
sent in time must be refused as not run, and both must go on after the limit.
"""

import concurrent.futures
import time

from clementinebank.booking import new_key
from clementinebank.ratelimit.tests.windows import WINDOW_S, greatest_count
from tests.harness import send_request, wait_until

RATE_PER_S = 8
TOLERANCE = 5
SETTLING_S = 1.0
DURATION_S = 6.0
REQUESTS_PER_S = 25
SEARCH_LEAF = 'pickup-desk-00-a'


def _search(fleet, number):
    reply = fleet.search(number, 'pickup-desk', **{'Deadline-Ms': '3000'})
    return reply.status, reply.decoded_body


def _is_complete(reply):
    status, body = reply
    return status == 200 and body['coverage']['complete']


def _book(fleet, number):
    reply = send_request(
        fleet.instances[number].callers,
        'POST',
        '/v1/services/claim-counter/requests',
        {'rug': 'R-1'},
        {'Idempotency-Key': new_key(time.time()), 'Deadline-Ms': '1500'},
    )
    return reply.status, reply.decoded_body


def _send_for(fleet, send, duration_s):
    """Send requests to all instances in turn; return the replies."""
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        futures = []
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            number = len(futures) % fleet.instance_count
            futures.append(pool.submit(send, fleet, number))
            time.sleep(1 / REQUESTS_PER_S)
        return [future.result() for future in futures]


def _greatest_count(fleet, leaf_id, since):
    """Return the most arrivals at a leaf in a window, in Unix time."""
    reply = send_request(fleet.leaf_ports[leaf_id], 'GET', '/observed')
    times = reply.decoded_body['work_arrivals']
    return greatest_count(sorted(times), since)


def test_searches_keep_the_limit_of_a_leaf(fleet):
    # Just after their start, instances don't know the snapshot of every leaf.
    for number in range(fleet.instance_count):
        assert wait_until(lambda: _is_complete(_search(fleet, number)))
    port = fleet.leaf_ports[SEARCH_LEAF]
    fleet.set_faults(port, rate_limit=str(RATE_PER_S))
    begin = time.time()
    replies = _send_for(fleet, _search, DURATION_S)
    allowed = RATE_PER_S * WINDOW_S + TOLERANCE
    assert _greatest_count(fleet, SEARCH_LEAF, begin + SETTLING_S) <= allowed
    assert all(_is_complete(reply) for reply in replies)
    fleet.set_faults(port, rate_limit='')
    _send_for(fleet, _search, SETTLING_S)
    assert wait_until(lambda: _search(fleet, 0)[0] == 200)


def test_bookings_keep_the_limit_of_every_leaf(fleet):
    leafs = [each for each in fleet.leaf_ports if 'claim-counter' in each]
    assert wait_until(lambda: _book(fleet, 0)[0] == 200)
    for leaf_id in leafs:
        fleet.set_faults(fleet.leaf_ports[leaf_id], rate_limit='4')
    begin = time.time()
    replies = _send_for(fleet, _book, DURATION_S)
    for leaf_id in leafs:
        count = _greatest_count(fleet, leaf_id, begin + SETTLING_S)
        assert count <= 4 * WINDOW_S + TOLERANCE
    executions = {
        body.get('execution') or body['error']['execution']
        for _, body in replies
    }
    assert executions == {'ran', 'not_run'}
    for leaf_id in leafs:
        fleet.set_faults(fleet.leaf_ports[leaf_id], rate_limit='')
    assert wait_until(lambda: all(_book(fleet, 0)[0] == 200 for _ in range(5)))
