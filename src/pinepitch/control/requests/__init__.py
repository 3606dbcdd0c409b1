"""Requests that daemons forward to the leader, one module a subject; `registry.py` names them all."""

from .registry import OUTCOME_ANSWERS, REQUESTS, Request

__all__ = ["OUTCOME_ANSWERS", "REQUESTS", "Request"]
