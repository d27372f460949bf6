#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python and need its standard
# library only, so this compiles them to find faults early.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [1-5]/*.py <<'PYTHON'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
PYTHON
