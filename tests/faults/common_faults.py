"""Registers the faults that several paths share.

They are the faults of section 12 of the design page. The booking path
registers more specific faults of its own for a partition, a lost response, a
delay and a racing caller.
"""

from tests.faults.matrix import register_fault

register_fault('kill', 'the process ends at once')
register_fault('pause', 'the process stops for longer than every timeout')
register_fault('outage', 'the key-value service is down')
register_fault(
    'refusal', 'the leaf refuses without running', ['booking', 'search']
)

ALL_BUT_BOOKING = ('search', 'document', 'leaf')

register_fault(
    'partition', 'the links to some of the processes are cut', ALL_BUT_BOOKING
)
register_fault(
    'response_lost', 'the response is lost after the effect', ALL_BUT_BOOKING
)
register_fault('delay', 'responses come late', ALL_BUT_BOOKING)
register_fault(
    'stale_list', 'the instance list states an old fleet', ALL_BUT_BOOKING
)
register_fault(
    'racing_operator', 'another operator changes the document', ALL_BUT_BOOKING
)
register_fault(
    'restore', 'the key-value service returns an older state', ALL_BUT_BOOKING
)
