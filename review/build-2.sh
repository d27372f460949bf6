#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python programs that use
# the standard library alone, so that compiling them shows that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q 6/lib
for number in 6 7 8 9 10; do
    if [ -e "$number/case.py" ]; then
        python3 -m compileall -q "$number/case.py"
    fi
done
