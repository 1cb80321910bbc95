#!/bin/sh
# The stand-ins are Python files of the standard library; there is nothing to
# build. They are compiled in memory, so that an error shows here.
cd "$(dirname "$0")" || exit 1
for file in lib/*.py [1-5]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
