"""The side of the shared counter."""

from .links import Counter, Total

__all__ = ["Counter", "Total"]
