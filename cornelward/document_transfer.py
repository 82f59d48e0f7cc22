"""Core: transfers a document of any size between nodes in compressed parts.

The receiver asks for one part at a time. What is under way on a slow link is therefore
bounded, and a question that is repeated costs one part and not the whole document.
"""

import zlib

__all__ = ["PART_BYTES", "Outgoing", "Partial", "add_part", "next_offset"]

# Size of a part before compression.
PART_BYTES = 131_072
COMPRESSION_LEVEL = 1


class Outgoing:
    """A document to be sent; ``part(offset)`` returns a part in compressed form."""

    def __init__(self, document):
        self.document = document
        self._parts = {}

    def part(self, offset):
        found = self._parts.get(offset)
        if found is None:
            data = self.document[offset : offset + PART_BYTES]
            found = zlib.compress(data, COMPRESSION_LEVEL)
            if offset % PART_BYTES == 0:
                self._parts[offset] = found
        return found


class Partial:
    """The beginning of the document of ``version``, of ``size`` bytes in all."""

    def __init__(self, version, size):
        self.version = version
        self.size = size
        self.data = bytearray()


def next_offset(partial, version):
    """Return (version, offset) of what is missing of a document newer than ``version``.

    Both are 0 if nothing of such a document has arrived.
    """
    if partial is None or partial.version <= version:
        return 0, 0
    return partial.version, len(partial.data)


def add_part(partial, version, offset, size, data):
    """Add a compressed part; returns (Partial or None, whether it has grown).

    Parts of a lower version, and those that do not continue what has arrived, change
    nothing. Raises ValueError if the part cannot be decompressed or does not fit.
    """
    try:
        decoder = zlib.decompressobj()
        plain = decoder.decompress(data, PART_BYTES + 1)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    end = offset + len(plain)
    if not decoder.eof or not plain or len(plain) > PART_BYTES or end > size:
        raise ValueError(f"the part ends at {end} of {size} bytes")
    if partial is None or version > partial.version:
        if offset:
            return partial, False
        partial = Partial(version, size)
    if (version, offset, size) != (partial.version, len(partial.data), partial.size):
        return partial, False
    partial.data += plain
    return partial, True
