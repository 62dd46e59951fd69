"""The action to read the record of finalized windows."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RecordRead:
    """Reads the record, after a write found that it had changed."""
