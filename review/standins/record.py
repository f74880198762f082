"""What was sent, answered and run, line by line in the record of a case. Times are seconds from its start."""

import time
from pathlib import Path


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Seconds from the start of the case, by the steady clock."""
        return time.monotonic() - self.began_at

    def note(self, text: str) -> None:
        """One line of the file."""
        self.file.write(f"{self.now():8.3f} {text}\n")

    def tell(self, text: str) -> None:
        """One line of the file that is also printed."""
        self.note(text)
        print(f"{self.now():8.3f} {text}", flush=True)
