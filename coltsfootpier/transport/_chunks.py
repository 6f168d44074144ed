"""Framing of chunked bodies (RFC 9112, 7.1), to find their ends without searching the content."""

from __future__ import annotations

_LINE_END = b"\r\n"


class ChunkScanner:
    """Finds the end of one chunked body in bytes that arrive in parts.

    The HTTP parser checks the same bytes and rejects invalid framing; the scanner only skips it.
    """

    def __init__(self) -> None:
        # Bytes that the current chunk still lacks, with the line end behind its content.
        self.missing_bytes = 0
        # Received part of an incomplete size line or trailer.
        self._line = b""
        self._is_in_trailers = False

    def find_end(self, data: bytes, start: int, stop: int) -> int:
        """Scan ``data[start:stop]``, the bytes that follow those scanned before.

        Returns
        -------
        int
            Offset in `data` behind the end of the body, or -1 if the body continues.
        """
        shift = 0
        if self._line:
            shift = start - len(self._line)
            data = self._line + data[start:stop]
            start, stop = 0, len(data)
            self._line = b""
        start += self.missing_bytes
        self.missing_bytes = 0
        while start < stop:
            line_end = data.find(_LINE_END, start, stop)
            if line_end < 0:
                self._line = data[start:stop]
                return -1
            line = data[start:line_end]
            start = line_end + len(_LINE_END)
            if self._is_in_trailers:
                if not line:
                    return start + shift
                continue
            try:
                size = int(line, 16)
            except ValueError:
                size = _parse_size(line)
            if size > 0:
                start += size + len(_LINE_END)
            elif size == 0:
                self._is_in_trailers = True
            else:
                return -1
        self.missing_bytes = start - stop
        return -1


def _parse_size(line: bytes) -> int:
    """Return the size in a line with chunk extensions, or -1 if it is invalid."""
    try:
        return int(line.split(b";", 1)[0], 16)
    except ValueError:
        return -1
