"""Bytes that the clients of a crowd send."""

from hpack import Encoder
from hyperframe.frame import DataFrame, HeadersFrame, SettingsFrame

from tests.crowds.system import MAX_BODY_BYTES

LARGE_CHUNK_BYTES = 32_768
# Body of a client that sends chunks of one byte.
TINY_CHUNKS_BYTES = 65_536
FRAME_BYTES = 16_384
LAST_CHUNK = b'0\r\n\r\n'
HTTP2_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
GATHER_HEADERS = (
    (':method', 'POST'),
    (':scheme', 'http'),
    (':path', '/clementinebank.Aggregation/Gather'),
    (':authority', 'peer'),
    ('content-type', 'application/grpc+proto'),
)


def head(path, *lines, method='POST'):
    """Return the head of a request with further header lines."""
    fixed = (
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        'X-Request-Id: crowd',
        'X-Deadline-Ms: 8000',
    )
    return '\r\n'.join((*fixed, *lines, '', '')).encode()


def sized_body(path, short=0, size=MAX_BODY_BYTES, lines=()):
    """Return a request whose body has a length; its end may be missing."""
    return head(path, f'Content-Length: {size}', *lines) + bytes(size - short)


def chunked_body(path, chunk_bytes, size, is_whole=True):
    """Return a request whose body comes in chunks of one size."""
    chunk = f'{chunk_bytes:x}\r\n'.encode() + bytes(chunk_bytes) + b'\r\n'
    end = LAST_CHUNK if is_whole else b''
    return (
        head(path, 'Transfer-Encoding: chunked')
        + chunk * (size // chunk_bytes)
        + end
    )


def http2_message(size, frame_bytes=FRAME_BYTES):
    """Return a call of another instance whose message doesn't end."""
    acknowledgement = SettingsFrame(0)
    acknowledgement.flags.add('ACK')
    opening = HeadersFrame(1, Encoder().encode(GATHER_HEADERS))
    opening.flags.add('END_HEADERS')
    frame = DataFrame(1, bytes(frame_bytes)).serialize()
    frames = (SettingsFrame(0), acknowledgement, opening)
    return (
        HTTP2_PREFACE
        + b''.join(each.serialize() for each in frames)
        + frame * (size // frame_bytes)
    )
