#!/bin/bash
# The stand-ins of the review are Python and need the standard library alone: they are only checked to compile.
cd "$(dirname "$0")" || exit 1
for file in harness.py [123]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
