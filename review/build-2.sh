#!/bin/sh
# The stand-ins of the second review are plain Python modules: nothing but a check that
# they compile is left to do.
cd "$(dirname "$0")" || exit 1
for file in fleet2/fleet2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
