"""What both sides' connections ask of their sockets."""

import select


def unread(transport):
    """Something came that was not read yet; the other side's end counts too."""
    waiting = select.poll()
    waiting.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(waiting.poll(0))
