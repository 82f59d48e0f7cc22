"""Formats output as JSON and as text tables of at most 100 character columns."""

import unicodedata

import msgspec

__all__ = ["MAX_COLUMNS", "format_json", "format_table", "to_printable"]

MAX_COLUMNS = 100
COLUMN_GAP = "  "
# A narrower column would show little more than the ellipsis.
MIN_COLUMN_WIDTH = 6
ELLIPSIS = "..."

RED, GREEN, YELLOW, BOLD = "31", "32", "33", "1"
COLOUR_BY_STATE = {
    "succeeded": GREEN,
    "running": GREEN,
    "live": GREEN,
    "ok": GREEN,
    "queued": YELLOW,
    "starting": YELLOW,
    "leaving": YELLOW,
    "cancelled": YELLOW,
    "failed": RED,
    "refused": RED,
    "lost": RED,
}


def format_json(value):
    """Return indented JSON without a trailing newline."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def to_printable(value):
    """Return the value as one line of text for a table cell or a message.

    Characters that are not printable are escaped: names and reasons come from other
    processes, and control characters could move the cursor of an operator's terminal.
    """
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list | tuple):
        return ", ".join(to_printable(item) for item in value) or "-"
    text = value if isinstance(value, str) else str(value)
    return "".join(c if c.isprintable() else repr(c)[1:-1] for c in text)


def format_table(headers, rows, colour=False, max_columns=MAX_COLUMNS):
    """Return a table with aligned columns; cells that do not fit end with "...".

    Headers are bold and known states coloured if ``colour`` is set. Raises ValueError
    if there are too many columns for ``max_columns`` characters.
    """
    cells = [[to_printable(cell) for cell in row] for row in rows]
    widths = [
        max([_display_width(header), *(_display_width(row[i]) for row in cells)])
        for i, header in enumerate(headers)
    ]
    widths = _shrink_to_fit(widths, max_columns)
    lines = [_format_row(headers, widths, colour and BOLD)]
    for row in cells:
        colours = [colour and COLOUR_BY_STATE.get(cell) for cell in row]
        lines.append(_format_row(row, widths, *colours))
    return "\n".join(lines)


def _shrink_to_fit(widths, max_columns):
    widths = list(widths)
    available = max_columns - len(COLUMN_GAP) * (len(widths) - 1)
    while sum(widths) > available:
        widest = widths.index(max(widths))
        if widths[widest] <= MIN_COLUMN_WIDTH:
            raise ValueError(f"{len(widths)} table columns do not fit in {max_columns}")
        widths[widest] -= 1
    return widths


def _format_row(cells, widths, *colours):
    parts = []
    for i, (cell, width) in enumerate(zip(cells, widths, strict=True)):
        text = _truncate(cell, width)
        last = i == len(widths) - 1
        padding = "" if last else " " * (width - _display_width(text))
        sgr = colours[i if len(colours) > 1 else 0] if colours else None
        parts.append((f"\x1b[{sgr}m{text}\x1b[0m" if sgr else text) + padding)
    return COLUMN_GAP.join(parts).rstrip()


def _char_width(char):
    if unicodedata.combining(char):
        return 0
    return 2 if unicodedata.east_asian_width(char) in "WF" else 1


def _display_width(text):
    return sum(map(_char_width, text))


def _truncate(text, width):
    if _display_width(text) <= width:
        return text
    kept, used = [], len(ELLIPSIS)
    for char in text:
        used += _char_width(char)
        if used > width:
            break
        kept.append(char)
    return "".join(kept) + ELLIPSIS
