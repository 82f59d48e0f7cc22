"""Verdicts: whether a request ran or may have run."""

import enum

__all__ = ["Verdict", "is_retry_safe"]


class Verdict(enum.StrEnum):
    """Whether a request ran, as far as its caller can know."""

    NOT_RUN = "NOT_RUN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    RAN = "RAN"


def is_retry_safe(verdict, idempotent):
    """Return whether a failed request may be sent again."""
    return verdict is Verdict.NOT_RUN or (
        idempotent and verdict is Verdict.MAY_HAVE_RUN
    )
