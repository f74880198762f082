"""Errors that an operator can meet, under one base: what happened, where, and what an operator can do.

Start, `check` and the log print them alike (`str` of one, in one line).
"""


class FernyardError(Exception):
    """`what` happened, `where` (a file, a field, an address; empty where the text says it), and what an operator can
    `do` (empty where the text says it or the class does)."""

    DO = ""

    def __init__(self, what: object = "", where: object = "", do: str = "") -> None:
        super().__init__(what)
        self.what, self.where, self.do = str(what), str(where), do or self.DO

    def __str__(self) -> str:
        sentence = " ".join((f"{self.where}: " if self.where else "").split() + self.what.split())
        return f"{sentence} ({self.do})" if self.do else sentence

    def fields(self) -> dict[str, str]:
        """The error as fields of a log line."""
        fields = {"why": self.what, "where": self.where, "do": self.do}
        return {name: text for name, text in fields.items() if text}
