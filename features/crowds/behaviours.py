"""The registry of crowds: a name -> how many come, and what each of them does."""

from . import messages
from .crowd import Behaviour

PATHS = {
    "front": messages.JOB_PATH,
    "readiness": "/api/readiness",
    "control": messages.CHANGE_PATH,
    "product": "/v1/tickets",
    "frames": "",
}
READ_PATHS = {
    "front": messages.JOB_PATH,
    "readiness": "/api/readiness",
    "control": "/api/Configuration.Read",
    "product": "/v1/metrics",
}


def behaviour(name: str, port: str) -> Behaviour:
    """What a crowd of a name does at a port."""
    path = PATHS[port]
    return {
        "bodies that stop short of their announced end": lambda: Behaviour(
            80, messages.body_cut_short("POST", path, messages.LARGE_BODY, messages.LARGE_PART)
        ),
        "such bodies with GET": lambda: Behaviour(
            80, messages.body_cut_short("GET", path, messages.LARGE_BODY, messages.LARGE_PART)
        ),
        "bodies of an allowed size that stop short": lambda: Behaviour(
            600, messages.body_cut_short("POST", path, messages.ALLOWED_BODY, messages.ALLOWED_PART)
        ),
        "thousands of such bodies of an allowed size": lambda: Behaviour(
            3000, messages.body_cut_short("POST", path, messages.ALLOWED_BODY, messages.ALLOWED_PART)
        ),
        "whole bodies of one long text": lambda: Behaviour(
            80, messages.whole_body(path, messages.text_body(1_800_000))
        ),
        "whole bodies of many small values": lambda: Behaviour(
            40, messages.whole_body(path, messages.dense_body(1_700_000))
        ),
        "whole bodies of an allowed size of many small values": lambda: Behaviour(
            120, messages.whole_body(path, messages.dense_body(messages.ALLOWED_PART))
        ),
        "bodies in very many chunks": lambda: Behaviour(
            30, messages.body_in_tiny_chunks(path, messages.LARGE_BODY)
        ),
        "bodies announced without bound": lambda: Behaviour(
            100, messages.body_cut_short("POST", path, messages.ENDLESS_BODY, messages.ENDLESS_BODY)
        ),
        "connections that say nothing": lambda: Behaviour(700, messages.silence()),
        "requests whose answers nobody reads": lambda: Behaviour(
            300, messages.reads_without_end(READ_PATHS[port]), reads=False
        ),
        "valid requests without a pause": lambda: Behaviour(
            300, messages.valid_requests_without_pause("GET", READ_PATHS[port])
        ),
        "valid jobs without a pause": lambda: Behaviour(
            300,
            messages.valid_requests_without_pause("POST", path, messages.text_body(messages.SMALL_TEXT)),
        ),
        "frames that stop short of their announced end": lambda: Behaviour(20, messages.frame_cut_short()),
        "frames like ours that stop short": lambda: Behaviour(20, messages.plausible_frame_cut_short()),
        "whole frames of many small values": lambda: Behaviour(20, messages.dense_frame()),
    }[name]()
