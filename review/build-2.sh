#!/bin/bash
# Builds the stand-ins of cases 4 to 8: plain Python of the standard library, so it only compiles them.
cd "$(dirname "$0")" && exec python3 -m compileall -q fleet2.py [4-8]
