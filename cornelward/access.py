"""Core: which workspace a call acts for, by its key, and whose jobs it may see.

Keys are kept and looked up by digest, so that neither the time of a look-up nor a dump
of the table tells a key.
"""

import hashlib
import hmac
from typing import NamedTuple

__all__ = [
    "KEY_MISSING",
    "KEY_UNKNOWN",
    "Decision",
    "decide",
    "fingerprint",
    "key_table",
    "may_see",
    "withdrawn",
]

SCHEME = "bearer"
# Hexadecimal digits of a key's digest that logs may show.
FINGERPRINT_DIGITS = 8
# Reasons of a refusal.
KEY_MISSING, KEY_UNKNOWN = "key_missing", "key_unknown"


class Decision(NamedTuple):
    """Whether a call is admitted.

    ``refusal`` is the reason if it is not, else None. ``owner`` is the workspace of a
    job that it submits. ``caller`` is the workspace whose jobs it may see, or None if
    it may see all.
    """

    refusal: str | None
    owner: str = ""
    caller: str | None = None


def _digest(key):
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


def key_table(keys):
    """Return {digest: workspace} of (key, workspace) pairs.

    Raises TypeError if a key is not a string and ValueError if it is empty.
    """
    table = {}
    for key, workspace in keys:
        if not isinstance(key, str):
            raise TypeError("a key is not a string")
        if not key:
            raise ValueError("a key is empty")
        table[_digest(key)] = workspace
    return table


def decide(table, is_public, authorization):
    """Return the Decision about a call with this Authorization header ("" if none).

    ``table`` is None if no workspaces are configured: every call is admitted then.
    """
    if table is None:
        return Decision(None)
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip() if scheme.lower() == SCHEME else ""
    workspace = _workspace_of(table, key) if key else None
    if is_public:
        return Decision(None, "", workspace or "")
    if workspace is None:
        return Decision(KEY_UNKNOWN if key else KEY_MISSING)
    return Decision(None, workspace, workspace)


def _workspace_of(table, key):
    digest = _digest(key)
    found = None
    # All are compared: the time tells nothing about the keys that are similar.
    for known, workspace in table.items():
        if hmac.compare_digest(known, digest):
            found = workspace
    return found


def may_see(owner, caller):
    """Return whether a call for ``caller`` may see or cancel a job of ``owner``.

    An empty owner stands for a job of no workspace; None as caller for a configuration
    without workspaces.
    """
    return caller is None or not owner or owner == caller


def fingerprint(digest):
    """Return the part of a key's digest that logs may show."""
    return digest.hex()[:FINGERPRINT_DIGITS]


def withdrawn(before, after):
    """Return (workspace, fingerprint) of each key of ``before`` that ``after`` lacks.

    Both are tables or None.
    """
    gone = sorted(set(before or ()) - set(after or ()))
    return [(before[digest], fingerprint(digest)) for digest in gone]
