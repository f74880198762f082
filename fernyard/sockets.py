"""What both sides' connections ask of their sockets."""

import select
import socket
import struct
from asyncio import BaseTransport

# Linux, `struct tcp_info`: bytes that are read of it, and where in it stand the milliseconds since data came last or, before any, since
# the handshake was over; the smoothed round-trip time (microseconds); the packets sent again.
TCP_INFO_SIZE, TCP_INFO_LAST_DATA, TCP_INFO_RTT, TCP_INFO_TOTAL_RETRANSMITS = 104, 52, 68, 100


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


def open_for(transport: BaseTransport) -> float:
    """Seconds for which a connection just taken in has been open to the other side: those of the handshake, and those for which it or
    what came on it waited for this process. Infinite where packets of the handshake were sent again, as the other side may have taken
    it for open long before; 0 where the system does not tell."""
    try:
        told = transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (waited,) = struct.unpack_from("=I", told, TCP_INFO_LAST_DATA)
        (round_trip,) = struct.unpack_from("=I", told, TCP_INFO_RTT)
        (sent_again,) = struct.unpack_from("=I", told, TCP_INFO_TOTAL_RETRANSMITS)
    except (AttributeError, OSError, struct.error):
        return 0.0
    return float("inf") if sent_again else waited / 1e3 + round_trip / 1e6
