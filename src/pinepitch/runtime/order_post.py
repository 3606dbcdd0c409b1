"""Posts orders to workers, with one HTTP call each."""

from typing import Any

import curio

from ..common import constants
from ..common.daemon_settings import split
from ..transport import http, http_client


async def post(inbox: Any, key: object, address: str, path: str, document: object) -> None:
    """Posts a document to a worker and puts ("posted", key, outcome) into the inbox."""
    async with http_client.Client(*split(address)) as client:
        outcome = await _outcome(client, path, document)
    await inbox.put(("posted", key, outcome))


async def _outcome(client: http_client.Client, path: str, document: object) -> str:
    """The outcome of a call: "sent", "refused", "unsent" (certainly), or "unknown" (may have arrived)."""
    try:
        response = await curio.timeout_after(constants.ORDER_TIMEOUT, client.call("POST", path, document))
    except curio.TaskTimeout:
        return "unknown" if client.reached else "unsent"
    if isinstance(response, http.Fault):
        return "unknown" if client.reached else "unsent"
    if response.status < 300:
        return "sent"
    return "refused" if response.status == 409 else "unknown"
