"""The side of the clients: reqs are read, answers are written whole."""

from .server import ClientServer, Gone, Taken

__all__ = ["ClientServer", "Gone", "Taken"]
