"""What the members of a crowd send: streams of bytes, each with the size that it announces."""

import struct
from typing import NamedTuple

from pinepitch.common import constants

JOB_PATH = "/held/00000000000000aa"  # a job at a queue of the deployment's configuration
CHANGE_PATH = "/api/Configuration.Replace"
HTTP_HOST = "crowd.example"
LARGE_BODY = 1_900_000  # bytes; just within the largest body of any port
LARGE_PART = 1_850_000  # bytes; what is sent of a body that stops short
ALLOWED_BODY = 262_144  # bytes; maxBodyBytes of the deployment's configuration
ALLOWED_PART = 250_000
LARGEST_BODY = 2_000_000  # bytes; the largest body of any port
ROUTE_BYTES = 440  # bytes; about, of a route of the deployment's configuration
ENDLESS_BODY = 1_000_000_000  # bytes; announced, and sent until the caller is refused
LARGE_FRAME = 16_000_000  # bytes
LARGE_FRAME_PART = 15_700_000
DENSE_FRAME_VALUES = 4_000_000  # empty arrays of one byte each
SMALL_TEXT = 200  # bytes; of the text in a small body
PIECE = 65_536  # bytes; of the filler that long streams repeat


class Stream(NamedTuple):
    """A stream: `head` once, then `filler` repeatedly until `size` bytes are sent in all. What comes after
    the end of the stream is silence.
    """

    head: bytes
    filler: bytes = b""
    size: int = 0

    @property
    def total(self) -> int:
        """Bytes of the whole stream."""
        return max(len(self.head), self.size)

    def chunk(self, sent: int) -> memoryview:
        """Some of the bytes that follow the first `sent` ones."""
        if sent < len(self.head):
            return memoryview(self.head)[sent:]
        place = (sent - len(self.head)) % len(self.filler)
        return memoryview(self.filler)[place : place + self.size - sent]


def request_head(method: str, path: str, length: int | None) -> bytes:
    """The head of a request whose body has `length` bytes, or comes in chunks if None."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HTTP_HOST}",
        "Content-Type: application/json",
        "X-Based-On-Version: 1",
        "X-Deadline-Remaining: 3000",
        framing,
    )
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


def body_cut_short(method: str, path: str, announced: int, part: int) -> Stream:
    """A request whose body ends in silence after `part` of the announced bytes."""
    head = request_head(method, path, announced)
    return Stream(head, b"a" * PIECE, len(head) + part)


def whole_body(path: str, body: bytes) -> Stream:
    """A whole request."""
    return Stream(request_head("POST", path, len(body)) + body)


def text_body(size: int) -> bytes:
    """A JSON object with one long text."""
    return b'{"taskSpec":"' + b"x" * size + b'","steps":[{"taskCount":1}]}'


def padded(body: bytes, size: int) -> bytes:
    """A JSON body with white space up to a size."""
    return body + b" " * (size - len(body))


def dense_body(size: int) -> bytes:
    """A JSON object of about `size` bytes that decodes into very many small values."""
    item = b'{"a":[]},'
    return b'{"steps":[' + item * (size // len(item)) + b"{}]}"


def body_in_tiny_chunks(path: str, size: int) -> Stream:
    """A whole request whose body comes in chunks of one byte."""
    body = text_body(size)
    return Stream(
        request_head("POST", path, None) + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    )


def frame_cut_short() -> Stream:
    """A frame between daemons that ends in silence after most of the announced bytes."""
    head = struct.pack(">I", LARGE_FRAME)
    return Stream(head, b"\0" * PIECE, LARGE_FRAME_PART)


def plausible_frame_cut_short() -> Stream:
    """The same, with the first bytes of a frame of ours."""
    head = struct.pack(">I", LARGE_FRAME) + _frame_prefix()
    return Stream(head, b"\0" * PIECE, LARGE_FRAME_PART)


def dense_frame() -> Stream:
    """A whole frame that decodes into very many small values."""
    body = _frame_prefix() + b"\x9a" + struct.pack(">I", DENSE_FRAME_VALUES)
    size = len(body) + DENSE_FRAME_VALUES
    return Stream(struct.pack(">I", size) + body, b"\x80" * PIECE, size + 4)


def _frame_prefix() -> bytes:
    """The CBOR of a frame's version and source, up to where its message begins."""
    source = b"127.0.0.1:7999"
    return b"\x83" + bytes([constants.WIRE_VERSION]) + bytes([0x60 + len(source)]) + source


def silence() -> Stream:
    """Nothing at all."""
    return Stream(b"")


def valid_requests_without_pause(method: str, path: str, body: bytes = b"") -> Stream:
    """Whole valid requests, one right behind the other, sent as fast as they are taken."""
    request = request_head(method, path, len(body)) + body
    return Stream(request, request * (PIECE // len(request)), ENDLESS_BODY)


def reads_without_end(path: str) -> Stream:
    """Many requests in a row, whose answers nobody reads."""
    request = request_head("GET", path, 0)
    return Stream(request, request, 200 * len(request))
