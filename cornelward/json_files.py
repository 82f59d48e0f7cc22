"""Readers for JSON with comments: single files and folders of objects."""

from pathlib import Path

import pyjson5

from .errors import SettingsError

__all__ = ["read_json", "read_objects"]

SUFFIXES = (".json", ".jsonc", ".json5")


def read_json(path):
    """Return the value in the file at ``path``; comments are allowed.

    Raises SettingsError that names the file.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "not UTF-8 text"
        raise SettingsError(f"{path}: {reason}") from exc
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as exc:
        raise SettingsError(f"{path}: not valid JSON: {exc.args[0]}") from exc


def read_objects(path):
    """Return the operators' objects in a file or, in name order, in a folder."""
    path = Path(path)
    if path.is_dir():
        files = sorted(p for p in path.iterdir() if p.suffix in SUFFIXES)
    else:
        files = [path]
    objects = []
    for file in files:
        value = read_json(file)
        objects.extend(value if isinstance(value, list) else [value])
    return objects
