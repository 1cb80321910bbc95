"""Guard against requests without a clear outcome during a shutdown.

A request can arrive just before, at or just after the moment when the server
closes an idle connection. It must be answered, or refused as not run: it must
not be cut off, dropped without a response or run after the refusal.
"""

import socket

import curio
import pytest

from clementinebank.http import ServerConnection, json_response
from clementinebank.http._server_connection import NextStep
from clementinebank.http.tests.wire import (
    SEARCH,
    open_wire,
    parse_replies,
    run_on_fake_clock,
)


async def _start_drain(wire):
    state = wire.connection.state
    state.is_closing = state.is_draining = True
    await wire.connection.interrupt()


async def _drain_idle(connection_type, arrival):
    """Drain an idle connection and send it a second request.

    ``arrival`` says when the request is sent: before the drain, right after
    its start, or once the server has half-closed the connection. Return the
    responses and the number of requests that were run.
    """
    wire = await open_wire(connection_type=connection_type)
    await wire.send(SEARCH)
    await curio.sleep(0.1)
    if arrival == 'before':
        await wire.send(SEARCH)
    await _start_drain(wire)
    if arrival == 'half_close':
        await curio.sleep(0.1)
    if arrival != 'before':
        await _send_unless_reset(wire)
    try:
        raw = await wire.read_raw()
    except ConnectionError:
        raw = b''
    await wire.sock.close()
    return parse_replies(raw), len(wire.handled)


async def _send_unless_reset(wire):
    try:
        await wire.send(SEARCH)
    except ConnectionError:
        return


def _is_outcome_known(connection_type, arrival):
    """Return whether the second request is answered or refused as not run."""
    replies, run_count = run_on_fake_clock(
        _drain_idle, connection_type, arrival
    )
    if len(replies) != 2:
        return False
    last = replies[1]
    if last.status == 200:
        return run_count == 2
    return run_count == 1 and last.error['execution'] == 'not_run'


ARRIVALS = ('before', 'same_moment', 'half_close')


@pytest.mark.parametrize('arrival', ARRIVALS)
def test_request_to_closing_connection_is_answered(arrival):
    assert _is_outcome_known(ServerConnection, arrival)


def test_request_that_arrived_is_served():
    replies, run_count = run_on_fake_clock(
        _drain_idle, ServerConnection, 'before'
    )
    assert [reply.status for reply in replies] == [200, 200]
    assert replies[1].headers['connection'] == 'close'
    assert run_count == 2


def test_request_in_half_close_is_refused():
    replies, run_count = run_on_fake_clock(
        _drain_idle, ServerConnection, 'half_close'
    )
    assert replies[1].status == 408
    assert replies[1].headers['connection'] == 'close'
    assert replies[1].error['code'] == 'connection_closing'
    assert replies[1].error['execution'] == 'not_run'
    assert run_count == 1


class _ClosesAtOnce(ServerConnection):
    """Negative control: closes an idle connection without a response."""

    async def _close_idle(self):
        return NextStep.CLOSE


class _ServesUnseen(ServerConnection):
    """Negative control: runs a request after the 408 was sent."""

    async def _close_idle(self):
        next_step = await super()._close_idle()
        if await self.sock.recv(65536):
            await self._respond(None)
        return next_step


@pytest.mark.parametrize('connection_type', [_ClosesAtOnce, _ServesUnseen])
def test_check_catches_broken_close(connection_type):
    assert not _is_outcome_known(connection_type, 'half_close')


async def _drain_during_request():
    async def slow(request):
        await curio.sleep(5)
        return json_response(200, {})

    wire = await open_wire(slow)
    await wire.send(SEARCH)
    await curio.sleep(0.1)
    await _start_drain(wire)
    return parse_replies(await wire.read_raw())


def test_request_in_flight_is_finished():
    (reply,) = run_on_fake_clock(_drain_during_request)
    assert reply.status == 200
    assert reply.headers['connection'] == 'close'


async def _answer_after_pause(request):
    await curio.sleep(0.1)
    return json_response(200, {})


async def _drain_at_arrival(connection_type):
    """Start a drain while the connection's task is ready to read a request.

    Return the responses and whether the task is marked as cancelled.
    """
    wire = await open_wire(_answer_after_pause, connection_type=connection_type)
    task = wire.connection.task
    await curio.sleep(0.1)
    await wire.send(SEARCH)
    while task.state == 'READ_WAIT':
        await curio.sleep(0)
    assert wire.connection.is_idle
    await _start_drain(wire)
    return parse_replies(await wire.read_raw()), task.cancelled


def test_interrupt_beside_arrival_does_not_cut_request():
    (reply,), is_cancelled = run_on_fake_clock(
        _drain_at_arrival, ServerConnection
    )
    assert reply.status == 200
    assert not is_cancelled


class _DeliversInterrupt(ServerConnection):
    """Negative control: lets an interrupt cancel the handler."""

    async def _wait_for_request(self):
        self.is_idle = True
        await self.sock.recv(1, socket.MSG_PEEK)
        self.is_idle = False
        return True


def test_check_catches_interrupted_request():
    replies, _ = run_on_fake_clock(_drain_at_arrival, _DeliversInterrupt)
    assert not replies


async def _idle_timeout():
    wire = await open_wire()
    return parse_replies(await wire.read_raw())


def test_idle_timeout_is_announced():
    (reply,) = run_on_fake_clock(_idle_timeout)
    assert reply.status == 408
    assert reply.error['code'] == 'connection_closing'
    assert reply.error['execution'] == 'not_run'
