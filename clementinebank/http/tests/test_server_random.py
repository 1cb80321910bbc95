"""Guard against lost or repeated requests on one connection.

Random sequences of valid, faulty, slow, split and pipelined requests, pauses
and a drain must leave each request answered or refused as not run.
"""

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebank.http import (
    HttpLimits,
    HttpRequest,
    ServerConnection,
    json_response,
)
from clementinebank.http._server_connection import NextStep
from clementinebank.http.tests.wire import (
    SEARCH,
    open_wire,
    parse_replies,
    run_on_fake_clock,
)

FAULT = SEARCH.replace(b'/search', b'/fault')
OVERSIZED = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 999\r\n\r\n'
LIMITS = HttpLimits(max_header_bytes=1000, max_body_bytes=100)
STEPS = (
    'request',
    'fault',
    'pipeline',
    'split',
    'slow',
    'garbage',
    'oversized',
    'pause',
    'idle',
    'drain',
)
SEQUENCES = st.lists(st.sampled_from(STEPS), max_size=8)
SETTINGS = settings(derandomize=True, max_examples=300, deadline=None)


async def _answer_or_fail(request):
    await curio.sleep(0.05)
    if request.path == '/fault':
        raise RuntimeError('fault of the handler')
    return json_response(200, {'path': request.path})


async def _perform_step(wire, step):
    """Perform one step; return how many requests it should get answered."""
    if step == 'drain':
        wire.connection.state.is_closing = True
        wire.connection.state.is_draining = True
        await wire.connection.interrupt()
    elif step in {'pause', 'idle'}:
        await curio.sleep(100 if step == 'idle' else 0.1)
    elif step in {'split', 'slow'}:
        await wire.send(SEARCH[:30])
        await curio.sleep(20 if step == 'slow' else 1)
        await wire.send(SEARCH[30:])
    else:
        payloads = {
            'request': SEARCH,
            'fault': FAULT,
            'pipeline': SEARCH * 3,
            'garbage': b'\x00 garbage\r\n\r\n',
            'oversized': OVERSIZED,
        }
        await wire.send(payloads[step])
    return {'pipeline': 3, 'request': 1, 'fault': 1, 'split': 1}.get(step, 0)


async def _run_steps(connection_type, steps):
    wire = await open_wire(_answer_or_fail, LIMITS, connection_type)
    sent = 0
    try:
        for step in steps:
            sent += await _perform_step(wire, step)
        await wire.sock.shutdown(1)
    except ConnectionError:
        # The server has closed, but its responses can still be read. How many
        # requests it received is unknown.
        sent = None
    try:
        raw = await wire.read_raw()
    except ConnectionError:
        raw = b''
        sent = None
    await wire.connection.task.join()
    return parse_replies(raw), wire, sent


def _assert_outcomes_known(connection_type, steps):
    """Assert that each request is answered or refused as not run."""
    replies, wire, sent = run_on_fake_clock(_run_steps, connection_type, steps)
    run_replies = [each for each in replies if each.status in {200, 500}]
    refusals = [each for each in replies if each.status not in {200, 500}]
    closing = [each.headers.get('connection') == 'close' for each in replies]
    if sent is not None:
        assert len(run_replies) == len(wire.handled)
    assert len(run_replies) <= len(wire.handled)
    assert all(each.error['execution'] == 'not_run' for each in refusals)
    assert not any(closing[:-1])
    assert len(refusals) <= 1
    if not (set(steps) & {'slow', 'garbage', 'oversized', 'idle', 'drain'}):
        assert len(run_replies) == sent
        assert not refusals
    elif sent and not replies:
        raise AssertionError('the requests were not answered')
    assert wire.connection.state.in_flight == 0
    assert not wire.connection.state.connections


@SETTINGS
@given(SEQUENCES)
def test_every_request_is_answered_or_refused(steps):
    _assert_outcomes_known(ServerConnection, steps)


class _ForgetsPipelined(ServerConnection):
    """Negative control: starts each request with an empty buffer."""

    async def _serve_next(self):
        if self.http.trailing_data[0]:
            self.__attrs_post_init__()
        return await super()._serve_next()


class _ServesUnseen(ServerConnection):
    """Negative control: runs a request after the 408 was sent."""

    async def _close_idle(self):
        next_step = await super()._close_idle()
        if await self.sock.recv(65_536):
            await self._respond(HttpRequest('POST', '/search'))
        return next_step


class _AnswersOnErrors(ServerConnection):
    """Negative control: serves further requests after a refusal."""

    async def _serve_next(self):
        next_step = await super()._serve_next()
        if next_step is NextStep.LINGER and not self.state.is_draining:
            self.__attrs_post_init__()
            return NextStep.REUSE
        return next_step


@pytest.mark.parametrize(
    'connection_type', [_ForgetsPipelined, _ServesUnseen, _AnswersOnErrors]
)
def test_check_catches_broken_connections(connection_type):
    @SETTINGS
    @given(SEQUENCES)
    def run(steps):
        _assert_outcomes_known(connection_type, steps)

    with pytest.raises((AssertionError, ExceptionGroup)):
        run()
