#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python files of the standard library:
# nothing is built, they are only checked to be readable by this Python.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
