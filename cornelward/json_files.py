"""Reads JSON files with comments (JSON5): single values and sets of objects."""

from pathlib import Path

import pyjson5

from .errors import SettingsError

__all__ = ["read_json", "read_objects"]

OBJECT_FILE_SUFFIXES = (".json", ".jsonc", ".json5")


def read_json(path):
    """Return the value in the file at ``path``; comments are allowed.

    Raises SettingsError, which names the file, if it is unreadable or not valid JSON.
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
    """Return the list of objects in a file, or in the JSON files of a folder.

    The files of a folder are read in the order of their names; a file holds one object
    or a list of objects. Raises SettingsError for an unreadable file.
    """
    path = Path(path)
    if path.is_dir():
        files = sorted(p for p in path.iterdir() if p.suffix in OBJECT_FILE_SUFFIXES)
    else:
        files = [path]
    objects = []
    for file in files:
        value = read_json(file)
        objects.extend(value if isinstance(value, list) else [value])
    return objects
