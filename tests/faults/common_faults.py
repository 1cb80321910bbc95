"""Columns of section 12 of the design page that several paths have.

The booking path has finer columns of its own for a partition, a lost
response, a delay and a racing caller.
"""

from tests.faults.matrix import fault

fault('kill', 'the process ends at once')
fault('pause', 'the process stops for longer than every timeout')
fault('outage', 'the key-value service is down')
fault('refusal', 'the leaf refuses without running', ['booking', 'search'])

OTHERS = ('search', 'document', 'leaf')

fault('partition', 'the links to some of the processes are cut', OTHERS)
fault('response_lost', 'the response is lost after the effect', OTHERS)
fault('delay', 'responses come late', OTHERS)
fault('stale_list', 'the instance list states an old fleet', OTHERS)
fault('racing_operator', 'another operator changes the document', OTHERS)
fault('restore', 'the key-value service returns an older state', OTHERS)
