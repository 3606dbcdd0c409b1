"""Requests that daemons forward to the leader, one module per subject; `registry.py` lists them all."""

from .registry import OUTCOME_ANSWERS, REQUESTS, Request

__all__ = ["OUTCOME_ANSWERS", "REQUESTS", "Request"]
