#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs that use the standard library alone: nothing has to be
# built. This checks that Python can read them.
set -e
cd "$(dirname "$0")"
python3 -B - lib-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'END'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
