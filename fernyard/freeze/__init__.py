"""Freeze windows: in declared trading periods the agreed configuration does not change (docs/freeze.md). `windows.py` knows
when a window is open, `adviser.py` what planners make of changes, `keeper.py` what an instance serves; all free of I/O.
`bundle.py` reads and keeps configurations. Only `keeper.py` is loaded where no operator's file asks for windows."""

from .keeper import Candidate, Keeper

__all__ = ["Candidate", "Keeper"]
