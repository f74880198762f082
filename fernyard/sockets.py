"""What both sides' connections ask of their sockets."""

import select
import socket


def bound(made, size):
    """Bounds what one connection may have on its way: on a narrow link a large answer else stands before all others."""
    if size:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


ENDED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def ended_by_peer(transport):
    """The other side has closed or reset the connection, perhaps behind bytes that were not read yet."""
    waiting = select.poll()
    waiting.register(transport.get_extra_info("socket").fileno(), ENDED)
    return bool(waiting.poll(0))


def unread(transport):
    """Something came that was not read yet; the other side's end counts too."""
    waiting = select.poll()
    waiting.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(waiting.poll(0))
