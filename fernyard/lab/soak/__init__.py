"""Soak of the whole system: its real processes on loopback under load, with signals, restarts and changes that overlap.

`description` reads what a run is made of, `schedule` draws it from a seed, `runner` plays it, `checks` judges what workers, clients
and the operator noted. Figures are of emulated workers and clients on one machine.
"""
