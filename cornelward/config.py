"""Versioned configuration documents, and which of two documents is applied.

A document is immutable: ``{"version": n, "parent": n - 1, "objects": [...]}``.
Version 0 is the empty configuration before the first publication.
"""

from .errors import ConfigConflictError
from .objects import require_valid_objects

__all__ = ["DOC_PREFIX", "EMPTY", "HEAD_KEY", "adopt", "doc_key", "next_document"]

HEAD_KEY = "config/head"
DOC_PREFIX = "config/doc/"

EMPTY = {"version": 0, "parent": None, "objects": []}


def doc_key(version):
    """Return the table key under which a version's document is stored."""
    return f"{DOC_PREFIX}{version}"


def adopt(current, candidate):
    """Return the document to apply: ``candidate`` if its version is higher.

    ``current`` may be None. A candidate that is not a valid document is ignored, so
    that a corrupt message cannot replace a valid configuration.
    """
    current = current or EMPTY
    if not _is_document(candidate) or candidate["version"] <= current["version"]:
        return current
    return candidate


def next_document(head, parent, objects):
    """Return the document that follows version ``parent``.

    ``head`` is the version in force. Raises ConfigConflictError with ``head`` if
    ``parent`` differs from it, and ObjectsError with every problem if ``objects`` is
    not valid.
    """
    if parent != head:
        raise ConfigConflictError(head)
    require_valid_objects(objects)
    return {"version": head + 1, "parent": head, "objects": objects}


def _is_document(value):
    if not isinstance(value, dict):
        return False
    version = value.get("version")
    return (
        isinstance(version, int)
        and not isinstance(version, bool)
        and version > 0
        and isinstance(value.get("objects"), list)
    )
