"""What an operator can meet going wrong, under one base: what happened, where, and what an operator can do. Start,
`check` and the log print them alike (`str` of one, in one line)."""


class FernyardError(Exception):
    """`what` happened, `where` (a file, a field, an address; empty where the text says it), and what an operator can
    `do` (empty where the text says it or the class does)."""

    DO = ""

    def __init__(self, what="", where="", do=""):
        super().__init__(what)
        self.what, self.where, self.do = str(what), str(where), do or self.DO

    def __str__(self):
        told = " ".join((f"{self.where}: " if self.where else "").split() + self.what.split())
        return f"{told} ({self.do})" if self.do else told

    def fields(self):
        """As a log line carries it."""
        return {name: told for name, told in (("why", self.what), ("where", self.where), ("do", self.do)) if told}
