"""One gatekeeper on sockets: the reducer that owns all state, and the runner of the effects it asks for."""

from .runner import Node, make_models

__all__ = ["Node", "make_models"]
