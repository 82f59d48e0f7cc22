"""Parses the options and reads the object files of the operators' command."""

import os

import msgspec

from .errors import CornelwardError
from .json_files import read_json, read_objects

__all__ = [
    "UsageError",
    "parse_json_object",
    "parse_seconds",
    "parse_whole_number",
    "read_paths",
]

MAX_SECONDS = 86_400


class UsageError(CornelwardError):
    """The command line has a missing, unknown or malformed argument."""


def read_paths(paths):
    """Return the objects in all files and folders, and the version they are based on.

    The version is that of the last file that ``get --json`` wrote, or None. Raises
    SettingsError for an unreadable file.
    """
    objects, version = [], None
    for path in paths:
        if os.path.isdir(path):
            objects.extend(read_objects(path))
            continue
        value = read_json(path)
        if isinstance(value, dict) and "kind" not in value and "objects" in value:
            version, value = value.get("version"), value["objects"]
        objects.extend(value if isinstance(value, list) else [value])
    return objects, version


def parse_seconds(text):
    """Return seconds as a float above 0 and up to MAX_SECONDS, or raise UsageError."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 < value <= MAX_SECONDS:
        raise UsageError(
            f"{text!r}: expected a number of seconds above 0, at most one day"
        )
    return value


def parse_whole_number(text, name):
    """Return an int of at least 0, or raise UsageError that names the option."""
    try:
        value = int(text)
    except ValueError:
        value = -1
    if value < 0:
        raise UsageError(f"{name} {text!r}: expected a whole number of at least 0")
    return value


def parse_json_object(text, name):
    """Return the decoded JSON object, or raise UsageError that names the option."""
    try:
        value = msgspec.json.decode(text)
    except msgspec.DecodeError:
        value = None
    if not isinstance(value, dict):
        raise UsageError(f"{name}: expected a JSON object")
    return value
