"""Rendezvous hashing: for a key, the same few of the names wherever it is computed, with little moved when one goes."""

from collections.abc import Iterable
from hashlib import blake2b


def weight(key: str, name: str) -> bytes:
    """The weight of a name for a key; the highest comes first."""
    return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def top(key: str, names: Iterable[str], count: int) -> list[str]:
    """The `count` names that come first for `key`, best first."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)[:count]


def first(key: str, names: Iterable[str]) -> str | None:
    """The name that comes first for `key`, or None where there are no names."""
    return max(names, key=lambda name: weight(key, name), default=None)
