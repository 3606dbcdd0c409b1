"""The port on which other daemons' frames come in."""

from collections.abc import Sequence
from typing import Any

import curio
import curio.socket

from ..common import events
from ..model import contract
from ..transport import framing


class FramePort:
    """Reads frames and hands the messages that keep their contract to the decider."""

    def __init__(self, inbox: Any, log: Any) -> None:
        self.inbox, self.log = inbox, log

    async def serve(self, socket: Any, peer: object) -> None:
        """Serves one connection until it ends, breaks, or brings what is no frame of ours."""
        socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        stream = socket.as_stream()
        try:
            while True:
                message = await _next_message(stream)
                if isinstance(message, framing.Refused):
                    events.emit(self.log, 105, why=message.why, peer=str(peer))
                    return
                await self.inbox.put(message)
        except (OSError, EOFError, curio.CurioError):
            return


async def _next_message(stream: Any) -> tuple[Any, ...] | framing.Refused:
    """The next message, or why the next bytes are none."""
    body = await framing.read_frame(stream)
    frame = body if isinstance(body, framing.Refused) else framing.decode(body)
    if isinstance(frame, framing.Refused):
        return frame
    message: Sequence[Any] = frame[1]
    if not contract.fits_contract(message):
        return framing.Refused(f"a message that keeps no contract: {str(message[0])[:40]}")
    return tuple(message)
