"""Plays the decisions on the simulator's wire."""
