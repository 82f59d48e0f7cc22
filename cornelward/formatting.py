"""Output: text tables of at most 100 columns, and JSON."""

import unicodedata

import msgspec

__all__ = ["MAX_COLUMNS", "format_json", "format_table", "to_printable"]

MAX_COLUMNS = 100
GAP = "  "
# Narrower columns would show only the mark of a cut.
MIN_COLUMN = 6
CUT = "..."

RED, GREEN, YELLOW, BOLD = "31", "32", "33", "1"
COLOUR_OF_WORD = {
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
    """Return indented JSON without a newline at the end."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def to_printable(value):
    """Return one line of text for a cell.

    Control characters are escaped: names and reasons come from other processes and
    must not move the cursor of an operator's terminal.
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
    """Return an aligned table; cells that do not fit are cut with "...".

    Known states are coloured if ``colour`` is set.
    """
    cells = [[to_printable(cell) for cell in row] for row in rows]
    widths = [
        max([_width(header), *(_width(row[i]) for row in cells)])
        for i, header in enumerate(headers)
    ]
    widths = _fit(widths, max_columns)
    lines = [_line(headers, widths, colour and BOLD)]
    for row in cells:
        colours = [colour and COLOUR_OF_WORD.get(cell) for cell in row]
        lines.append(_line(row, widths, *colours))
    return "\n".join(lines)


def _fit(widths, max_columns):
    widths = list(widths)
    room = max_columns - len(GAP) * (len(widths) - 1)
    while sum(widths) > room:
        widest = widths.index(max(widths))
        if widths[widest] <= MIN_COLUMN:
            raise ValueError(f"{len(widths)} columns do not fit in {max_columns}")
        widths[widest] -= 1
    return widths


def _line(cells, widths, *colours):
    parts = []
    for i, (cell, width) in enumerate(zip(cells, widths, strict=True)):
        text = _cut(cell, width)
        last = i == len(widths) - 1
        padding = "" if last else " " * (width - _width(text))
        sgr = colours[i if len(colours) > 1 else 0] if colours else None
        parts.append((f"\x1b[{sgr}m{text}\x1b[0m" if sgr else text) + padding)
    return GAP.join(parts).rstrip()


def _char_width(char):
    if unicodedata.combining(char):
        return 0
    return 2 if unicodedata.east_asian_width(char) in "WF" else 1


def _width(text):
    return sum(map(_char_width, text))


def _cut(text, width):
    if _width(text) <= width:
        return text
    kept, used = [], len(CUT)
    for char in text:
        used += _char_width(char)
        if used > width:
            break
        kept.append(char)
    return "".join(kept) + CUT
