"""The port that receives frames from other daemons."""

from collections.abc import Sequence
from typing import Any

import curio
import curio.socket

from ..common import events
from ..model import contract
from ..transport import framing
from ..transport.callers import Caller


class FramePort:
    """Reads frames and passes the messages that satisfy their contract to the daemon."""

    def __init__(self, inbox: Any, log: Any) -> None:
        self.inbox, self.log = inbox, log

    async def serve(self, socket: Any, caller: Caller) -> None:
        """Serves one connection until it ends, breaks, or delivers an invalid frame."""
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        reader = framing.FrameReader(socket, caller)
        try:
            while True:
                message = await _next_message(reader)
                if isinstance(message, framing.InvalidFrame):
                    events.emit(self.log, 105, why=message.reason, peer=str(socket.getpeername()))
                    return
                await self.inbox.put(message)
        except (OSError, EOFError, curio.CurioError):
            return

    def refusal(self) -> bytes:
        """What another daemon reads whose connection can't be served now: nothing."""
        return b""


async def _next_message(reader: framing.FrameReader) -> tuple[Any, ...] | framing.InvalidFrame:
    """The next message, or why the next frame is invalid."""
    body = await reader.read()
    frame = body if isinstance(body, framing.InvalidFrame) else framing.decode(body)
    if isinstance(frame, framing.InvalidFrame):
        return frame
    message: Sequence[Any] = frame[1]
    if not contract.fits_contract(message):
        return framing.InvalidFrame(f"message violates its contract: {str(message[0])[:40]}")
    return tuple(message)
