"""Sizes of the buffers of one connection, in bytes."""

# What is sent to a client that reads slowly before its sender waits.
WRITE_BUFFER_BYTES = 4 * 1024
# Size of the kernel's buffer for what a caller sends. It holds up to one and a half
# times as much unread.
RECEIVE_BUFFER_BYTES = 8 * 1024
# The same for a large body that would otherwise come too late.
WIDE_RECEIVE_BUFFER_BYTES = 128 * 1024
# Read buffer of a connection to a target, and the size of the kernel's.
CONNECTION_READ_BYTES = 16 * 1024
TARGET_RECEIVE_BUFFER_BYTES = 64 * 1024
