"""Shared settings; helper modules lie beside the tests."""

import sys
from pathlib import Path

from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")
