"""Hypothesis settings and the import path of the test helpers."""

import sys
from pathlib import Path

from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
