"""Daemon in which one rule is broken, as a negative control.

The process tests must fail with it; otherwise they could not detect that
fault. The environment variable BROKEN_VARIANT names the rule to break.
"""

import json
import os
import sys

import attrs

from clementinebank.http import HttpConnection, HttpServer, ServerConnection
from clementinebank.http._server_connection import NextStep
from clementinebank.server import main
from clementinebank.server._life_cycle import LifeCycle

VARIANTS = {}


def _variant(function):
    VARIANTS[function.__name__] = function
    return function


@_variant
def exits_at_once():
    """End the process at the signal, without finishing any request."""

    async def run(self, callers, operators):
        await self.stop_signal.wait()
        return 0

    LifeCycle.run = run


@_variant
def closes_idle_silently():
    """Close idle connections without a last read and the 408 response.

    A request that arrives at that moment is then cut.
    """

    async def close_idle(self):
        return NextStep.CLOSE

    async def drain(self, timeout_s):
        self.state.is_draining = True
        for connection in list(self.state.connections):
            if connection.is_idle:
                await connection.task.cancel()
        return 0

    ServerConnection._close_idle = close_idle
    HttpServer.drain = drain


@_variant
def trusts_reply_ids():
    """Accept every reply of a leaf as the reply to the last request sent."""
    send, receive = HttpConnection.send, HttpConnection.receive

    async def send_and_record_id(self, message):
        await send(self, message)
        SENT_IDS[id(self)] = message.headers.get('request-id', '')

    async def receive_with_sent_id(self):
        response = await receive(self)
        response.headers['request-id'] = SENT_IDS[id(self)]
        body = json.loads(response.body or b'null')
        if not isinstance(body, dict) or 'request_id' not in body:
            return response
        body['request_id'] = SENT_IDS[id(self)]
        return attrs.evolve(response, body=json.dumps(body).encode())

    HttpConnection.send = send_and_record_id
    HttpConnection.receive = receive_with_sent_id


SENT_IDS = {}

if __name__ == '__main__':
    VARIANTS[os.environ['BROKEN_VARIANT']]()
    sys.exit(main())
