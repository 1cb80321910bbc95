"""Guards a process against sockets that one task closes while others wait.

Fault of review/6: a client of rate limits closed a connection on which another
task waited. The next connection got the same descriptor, its registration
failed inside curio's kernel, and the process ended with all its requests.
"""

import socket

import curio
import pytest

from clementinebank.clock import FakeClockKernel, now, run_service
from clementinebank.http import SharedSocket, listen, open_socket

HOST = '127.0.0.1'
WAIT_S = 0.05
LIMIT_S = 2.0
# Fills the buffers of both sides.
LONG_BYTES = b'x' * 50_000_000


async def open_pair(listening):
    """Return both sides of a connection."""
    ours = await open_socket(HOST, listening.getsockname()[1])
    theirs, _ = await listening.accept()
    return ours, theirs


async def wait_to_read(ours):
    return await ours.recv(1)


async def wait_to_write(ours):
    await ours.sendall(LONG_BYTES)


async def run_closed_by_another_task(corofunc):
    """Close a socket on which ``corofunc`` waits, and use its descriptor.

    Returns the error of the waiting task, and what the next connection reads.
    """
    async with listen(HOST, 0, 5) as listening:
        ours, theirs = await open_pair(listening)
        descriptor = ours.fileno()
        waiting = await curio.spawn(corofunc, ours)
        await curio.sleep(WAIT_S)
        await ours.close()
        # Opened before the waiting task runs again, and after it.
        pairs = [await open_pair(listening)]
        error = await failure_of(waiting)
        pairs.append(await open_pair(listening))
        assert descriptor in {each.fileno() for pair in pairs for each in pair}
        texts = []
        for sender, receiver in pairs:
            reading = await curio.spawn(receiver.recv, 10)
            await curio.sleep(WAIT_S)
            await sender.sendall(b'served')
            texts.append(await reading.join())
            await sender.close()
            await receiver.close()
        await theirs.close()
    return error, texts


async def failure_of(task):
    """Return the exception of a task, which must end soon."""
    began = now()
    async with curio.ignore_after(LIMIT_S):
        await task.wait()
    assert now() - began < LIMIT_S
    return task.exception


@pytest.mark.parametrize('corofunc', [wait_to_read, wait_to_write])
def test_close_of_a_socket_in_use_ends_no_process(corofunc):
    error, texts = run_service(run_closed_by_another_task, corofunc)
    assert isinstance(error, OSError)
    assert texts == [b'served', b'served']


def test_close_is_safe_for_a_task_that_is_about_to_run():
    """Guard the moment after input has come and before its reader has run."""

    async def run():
        async with listen(HOST, 0, 5) as listening:
            ours, theirs = await open_pair(listening)
            waiting = await curio.spawn(wait_to_read, ours)
            await curio.sleep(WAIT_S)
            await theirs.send(b'x')
            # The kernel resumes this task and the reader in the same round.
            await curio.sleep(0)
            await ours.close()
            pair = await open_pair(listening)
            error = await failure_of(waiting)
            await pair[0].sendall(b'served')
            text = await pair[1].recv(10)
            for sock in (theirs, *pair):
                await sock.close()
        return error, text

    error, text = run_service(run)
    assert error is None or isinstance(error, OSError)
    assert text == b'served'


def test_close_ends_a_wait_for_connections():
    async def run():
        listening = listen(HOST, 0, 5)
        accepting = await curio.spawn(listening.accept)
        await curio.sleep(WAIT_S)
        await listening.close()
        error = await failure_of(accepting)
        assert listening.fileno() == -1
        return error

    assert isinstance(run_service(run), OSError)


def test_descriptor_stays_open_until_its_last_user_has_left():
    """Guard against a number that is given out while a task waits on it."""

    async def run():
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        shared = SharedSocket(ours)
        waiting = await curio.spawn(shared.recv, 1)
        await curio.sleep(WAIT_S)
        await shared.close()
        assert shared.fileno() >= 0
        error = await failure_of(waiting)
        assert shared.fileno() == -1
        assert theirs.recv(1) == b''
        theirs.close()
        return error

    with FakeClockKernel() as kernel:
        assert isinstance(kernel.run(run), ConnectionAbortedError)
