"""Names in the data folder of a control instance."""

from __future__ import annotations

from typing import Final

LOG_FOLDER_NAME: Final = "log"
CLAIMS_FOLDER_NAME: Final = "claims"
