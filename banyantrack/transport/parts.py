"""Collects received data without moving what has been collected."""

from __future__ import annotations

PART_BYTES = 64 * 1024
# Smaller data is copied together, since each object has an overhead.
SMALL_BYTES = 16 * 1024


class PartBuffer:
    """Received data in parts of about one size.

    A growing `bytearray` is moved by the allocator each time that it grows.
    With many large ones, the holes that this leaves held several times their
    memory.
    """

    __slots__ = ('_parts', '_tail', '_size')

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Appends received data."""
        self._size += len(data)
        if not self._tail and len(data) >= SMALL_BYTES:
            self._parts.append(bytes(data))
            return
        self._tail += data
        if len(self._tail) >= PART_BYTES:
            self._parts.append(bytes(self._tail))
            self._tail = bytearray()

    def join(self) -> bytes:
        """Returns all data in one piece."""
        return b''.join((*self._parts, self._tail))

    def clear(self) -> None:
        """Frees all data."""
        self._parts.clear()
        self._tail = bytearray()
        self._size = 0
