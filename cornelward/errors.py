"""Exceptions with stable error codes and, for requests, a verdict."""

from .verdicts import Verdict

__all__ = [
    "BAD_OBJECTS",
    "BAD_REQUEST",
    "BAD_SETTINGS",
    "CONFLICT",
    "DEADLINE_EXCEEDED",
    "INTERNAL",
    "IN_PROGRESS",
    "NEVER_RUNNABLE",
    "NOT_FOUND",
    "NO_UPSTREAM",
    "OVERLOADED",
    "PLATFORM_UNAVAILABLE",
    "SHUTTING_DOWN",
    "START_FAILED",
    "STATUS_OF_CODE",
    "UNAUTHORIZED",
    "UPSTREAM_FAILED",
    "ConfigConflictError",
    "CornelwardError",
    "ObjectsError",
    "PlatformError",
    "RequestError",
    "SettingsError",
]

BAD_OBJECTS = "bad_objects"
BAD_REQUEST = "bad_request"
BAD_SETTINGS = "bad_settings"
CONFLICT = "conflict"
DEADLINE_EXCEEDED = "deadline_exceeded"
INTERNAL = "internal"
IN_PROGRESS = "in_progress"
NEVER_RUNNABLE = "never_runnable"
NO_UPSTREAM = "no_upstream"
NOT_FOUND = "not_found"
OVERLOADED = "overloaded"
PLATFORM_UNAVAILABLE = "platform_unavailable"
SHUTTING_DOWN = "shutting_down"
START_FAILED = "start_failed"
UNAUTHORIZED = "unauthorized"
UPSTREAM_FAILED = "upstream_failed"

STATUS_OF_CODE = {
    BAD_OBJECTS: 422,
    BAD_REQUEST: 400,
    CONFLICT: 409,
    DEADLINE_EXCEEDED: 504,
    INTERNAL: 500,
    IN_PROGRESS: 409,
    NEVER_RUNNABLE: 422,
    NO_UPSTREAM: 503,
    NOT_FOUND: 404,
    OVERLOADED: 503,
    PLATFORM_UNAVAILABLE: 503,
    SHUTTING_DOWN: 503,
    UNAUTHORIZED: 401,
    UPSTREAM_FAILED: 502,
}


class CornelwardError(Exception):
    """Base class of all errors; ``code`` is one of the constants of this module."""

    code = INTERNAL

    def __init__(self, message, code=None, verdict=None):
        super().__init__(message)
        self.message = message
        self.code = code or self.code
        self.verdict = verdict


class SettingsError(CornelwardError):
    """A settings file is missing or unreadable, or contains an invalid value."""

    code = BAD_SETTINGS


class ObjectsError(CornelwardError):
    """A set of configuration objects was refused; ``problems`` lists every reason."""

    code = BAD_OBJECTS

    def __init__(self, problems):
        super().__init__("; ".join(problems))
        self.problems = problems


class ConfigConflictError(CornelwardError):
    """The current version of the configuration is not the given parent version."""

    code = CONFLICT

    def __init__(self, current):
        super().__init__(f"the configuration is at version {current}")
        self.current = current


class PlatformError(CornelwardError):
    """A call to the platform failed.

    ``applied`` tells whether the call took effect; None if that is unknown.
    """

    code = PLATFORM_UNAVAILABLE

    def __init__(self, message, applied=False):
        super().__init__(message)
        self.applied = applied


class RequestError(CornelwardError):
    """A request was refused or failed; the error is sent to the caller."""

    def __init__(self, code, message, verdict=Verdict.NOT_RUN, retry_after_ms=None):
        super().__init__(message, code, verdict)
        self.retry_after_ms = retry_after_ms
