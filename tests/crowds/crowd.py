"""Clients that send and take what they please, all in one thread."""

import contextlib
import selectors
import socket
import time

import attrs

from tests.crowds.system import HOST, STILL_S

MAX_WRITE_BYTES = 65_536
READ_SIZE_BYTES = 65_536
LITTLE_BYTES = 256
# Longest time of one push, which only bounds the length of a test.
MAX_PUSH_S = 6


@attrs.define(eq=False)
class Client:
    """One client of a crowd.

    Parameters
    ----------
    payload : bytes
        What it sends.
    reads : bool
        Whether it reads what it is sent.
    received : bytearray
        First bytes that it was sent.
    is_closed : bool
        Whether the other side closed the connection.
    """

    payload: bytes
    reads: bool = True
    sock: socket.socket = None
    sent: int = 0
    received: bytearray = attrs.Factory(bytearray)
    received_count: int = 0
    is_closed: bool = False

    @property
    def is_sending(self):
        """Return whether bytes are left to send."""
        return not self.is_closed and self.sent < len(self.payload)


@attrs.define(eq=False)
class Crowd:
    """Clients that all connect to one port.

    Parameters
    ----------
    port : int
        Port of the local host.
    clients : list of Client
        The crowd.
    receive_buffer : int
        Receive buffer of each client in bytes; 0 for that of the system.
    write_bytes : int
        Largest number of bytes that a client sends at once.
    """

    port: int
    clients: list
    receive_buffer: int = 0
    write_bytes: int = MAX_WRITE_BYTES
    _selector: selectors.BaseSelector = attrs.Factory(selectors.DefaultSelector)

    def __enter__(self):
        """Connect all clients."""
        for client in self.clients:
            client.sock = socket.socket()
            if self.receive_buffer:
                client.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
                )
            client.sock.setblocking(False)
            client.sock.connect_ex((HOST, self.port))
            self._selector.register(client.sock, selectors.EVENT_WRITE, client)
        return self

    def __exit__(self, *exc_info):
        """Close all connections."""
        self._selector.close()
        for client in self.clients:
            client.sock.close()

    @property
    def closed_count(self):
        """Return the number of clients whose connection was closed."""
        return sum(client.is_closed for client in self.clients)

    def push(self):
        """Send until nobody has bytes left or none is taken any more."""
        end = time.monotonic() + MAX_PUSH_S
        while any(client.is_sending for client in self.clients):
            ready = self._selector.select(STILL_S)
            if not ready or time.monotonic() > end:
                return
            self._serve(ready)

    def watch(self, condition):
        """Read what comes until the condition holds or nothing comes."""
        end = time.monotonic() + MAX_PUSH_S
        while not condition() and time.monotonic() < end:
            self._serve(self._selector.select(STILL_S))

    def read_little(self):
        """Let each client read a few bytes."""
        for client in self.clients:
            with contextlib.suppress(OSError):
                client.received_count += len(client.sock.recv(LITTLE_BYTES))

    def _serve(self, ready):
        for key, mask in ready:
            client = key.data
            try:
                self._move(client, mask)
            except BlockingIOError:
                continue
            except OSError:
                client.is_closed = True
            if client.is_closed:
                with contextlib.suppress(KeyError):
                    self._selector.unregister(client.sock)

    def _move(self, client, mask):
        if mask & selectors.EVENT_WRITE and client.is_sending:
            start = client.sent
            client.sent += client.sock.send(
                client.payload[start : start + self.write_bytes]
            )
        if mask & selectors.EVENT_READ:
            chunk = client.sock.recv(READ_SIZE_BYTES)
            client.is_closed = not chunk
            client.received_count += len(chunk)
            if len(client.received) < MAX_WRITE_BYTES:
                client.received += chunk
        events = selectors.EVENT_READ if client.reads else 0
        if client.is_sending:
            events |= selectors.EVENT_WRITE
        if events == self._selector.get_key(client.sock).events:
            return
        if events:
            self._selector.modify(client.sock, events, client)
        else:
            self._selector.unregister(client.sock)
