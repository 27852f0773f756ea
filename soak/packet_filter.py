"""Drop packets that arrive at a socket from some source addresses.

A listening socket with such a filter does not answer attempts to connect, as behind a
network partition. A proxy that accepts connections and then resets them looks like a
link that works.
"""

import ctypes
import socket
import struct
from collections.abc import Collection

# Options of `socket(7)` and instructions of the classic Berkeley packet filter that the
# module `socket` does not define.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
LOAD_WORD = 0x20
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
# Offset of the source address in the IPv4 header, from the network header.
SOURCE_OFFSET = 0xFFF00000 + 12
WHOLE_PACKET = 0xFFFFFFFF


def drop_packets_from(listener: socket.socket, sources: Collection[str]) -> None:
    """Drop all packets from these addresses, and no others.

    Without addresses, the filter that was set before is removed.
    """
    if not sources:
        listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    instructions = [(LOAD_WORD, 0, 0, SOURCE_OFFSET)]
    for number, source in enumerate(sources):
        (address,) = struct.unpack("!I", socket.inet_aton(source))
        # To the last instruction, which drops.
        distance = len(sources) - number
        instructions.append((JUMP_IF_EQUAL, distance, 0, address))
    instructions += [(RETURN, 0, 0, WHOLE_PACKET), (RETURN, 0, 0, 0)]
    packed = b"".join(struct.pack("HBBI", *each) for each in instructions)
    program = ctypes.create_string_buffer(packed)
    filter_of = struct.pack("HP", len(instructions), ctypes.addressof(program))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_of)
