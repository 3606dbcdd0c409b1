"""Counts the instructions that an act executes, which no load of the machine changes."""

import sys


def instructions_of(act):
    """The number of instructions that an act executes."""
    counted = 0

    def count(frame, event, _):
        nonlocal counted
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        counted += event == "opcode"
        return count

    before = sys.gettrace()
    sys.settrace(count)
    try:
        act()
    finally:
        sys.settrace(before)
    return counted
