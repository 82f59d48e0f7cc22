"""The operators' command-line interface ``cornelward``.

The ``EXIT_*`` constants are the exit codes; ``--help`` of every command lists them.
"""

import os
import sys
import time
import uuid

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Type

from . import __version__
from .cli_input import (
    UsageError,
    parse_json_object,
    parse_seconds,
    parse_whole_number,
    read_paths,
)
from .errors import (
    BAD_OBJECTS,
    BAD_REQUEST,
    CONFLICT,
    NOT_FOUND,
    PLATFORM_UNAVAILABLE,
    SHUTTING_DOWN,
    CornelwardError,
    RequestError,
    SettingsError,
)
from .explain import explain, read_events
from .formatting import format_json, format_table, to_printable
from .object_schema import KINDS
from .objects import check_objects, require_valid_objects
from .operator_client import UNREACHABLE, EntryError, make_operator_client

__all__ = ["ENTRY_ADDRESS_VARIABLE", "application", "main"]

ENTRY_ADDRESS_VARIABLE = "CORNELWARD_ENTRY"
DEFAULT_TIMEOUT_S = 10.0
WAIT_POLL_S = 0.2

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_CONFLICT = 4
EXIT_NOT_FOUND = 5

EXIT_CODE_BY_ERROR = {
    CONFLICT: EXIT_CONFLICT,
    NOT_FOUND: EXIT_NOT_FOUND,
    PLATFORM_UNAVAILABLE: EXIT_UNAVAILABLE,
    SHUTTING_DOWN: EXIT_UNAVAILABLE,
    UNREACHABLE: EXIT_UNAVAILABLE,
    BAD_REQUEST: EXIT_REFUSED,
    BAD_OBJECTS: EXIT_REFUSED,
}

EXIT_CODES_HELP = f"""\
Exit codes: {EXIT_OK} done; {EXIT_REFUSED} refused, the reason is printed; \
{EXIT_USAGE} usage error or unreadable file;
{EXIT_UNAVAILABLE} the entry or the platform cannot be reached; \
{EXIT_CONFLICT} another change was published first; {EXIT_NOT_FOUND} not found."""

FINAL_STATES = ("succeeded", "failed", "cancelled", "refused", "lost")

JSON_OPTION = option("json", None, "Print JSON for scripts.")
REMOTE_OPTIONS = (
    option(
        "entry",
        None,
        f"Address ip:port of an entry (default: environment {ENTRY_ADDRESS_VARIABLE}).",
        flag=False,
    ),
    option(
        "timeout",
        None,
        "Seconds to wait for each response of the entry.",
        flag=False,
        default=str(DEFAULT_TIMEOUT_S),
    ),
    JSON_OPTION,
)
PATHS_ARGUMENT = argument("paths", "Files or folders of objects.", multiple=True)


class _BaseCommand(Command):
    """Base of all commands: output, and the connection to an entry.

    Output is written raw: its texts come from files and other processes and must not
    be interpreted as cleo markup.
    """

    help = EXIT_CODES_HELP

    def show(self, text):
        self.io.write_line(text, type=Type.RAW)

    def show_json(self, value):
        self.show(format_json(value))

    def show_table(self, headers, rows):
        self.show(format_table(headers, rows, self.io.output.is_decorated()))

    def connect(self):
        addr = self.option("entry") or os.environ.get(ENTRY_ADDRESS_VARIABLE)
        if not addr:
            raise UsageError(f"--entry ip:port or {ENTRY_ADDRESS_VARIABLE} is required")
        try:
            return make_operator_client(addr, parse_seconds(self.option("timeout")))
        except RequestError as exc:
            raise UsageError(exc.message) from exc


class CheckCommand(_BaseCommand):
    """Checks object files without contacting an entry."""

    name = "check"
    description = "Check a complete set of objects and their references, offline."
    arguments = (PATHS_ARGUMENT,)
    options = (JSON_OPTION,)

    def handle(self):
        objects, _ = read_paths(self.argument("paths"))
        problems = check_objects(objects)
        if self.option("json"):
            self.show_json({"objects": len(objects), "problems": problems})
        else:
            for problem in problems:
                self.show(to_printable(problem))
            self.show(f"{len(objects)} objects, {len(problems)} problems")
        return EXIT_REFUSED if problems else EXIT_OK


class ApplyCommand(_BaseCommand):
    """Publishes a complete set of objects; a set is never applied in part."""

    name = "apply"
    description = "Publish a complete set of objects as the next version."
    arguments = (PATHS_ARGUMENT,)
    options = (
        option(
            "parent",
            None,
            "Version that this change is based on (default: the version in the "
            "file written by 'get --json', otherwise the current version).",
            flag=False,
        ),
        *REMOTE_OPTIONS,
    )

    def handle(self):
        objects, parent = read_paths(self.argument("paths"))
        require_valid_objects(objects)
        operator = self.connect()
        if self.option("parent") is not None:
            parent = parse_whole_number(self.option("parent"), "--parent")
        if parent is None:
            parent = operator.get_config()["version"]
        version = operator.put_config(parent, objects)["version"]
        if self.option("json"):
            self.show_json({"version": version, "parent": parent})
        else:
            self.show(f"version {version} published ({len(objects)} objects)")
        return EXIT_OK


class GetCommand(_BaseCommand):
    """Shows the published objects, filtered by kind and name if these are given."""

    name = "get"
    description = (
        "Show all published objects, those of one kind, or one object by name."
    )
    arguments = (
        argument("kind", "One of " + ", ".join(KINDS) + ".", optional=True),
        argument("name", "Name of one object.", optional=True),
    )
    options = REMOTE_OPTIONS

    def handle(self):
        kind, name = self.argument("kind"), self.argument("name")
        if kind and kind not in KINDS:
            raise UsageError(f"{kind!r}: expected one of {', '.join(KINDS)}")
        document = self.connect().get_config()
        objects = [
            obj
            for obj in document["objects"]
            if kind in (None, obj["kind"]) and name in (None, obj["name"])
        ]
        if name and not objects:
            raise EntryError(NOT_FOUND, f"no {kind} is named {name!r}")
        if self.option("json"):
            self.show_json({"version": document["version"], "objects": objects})
        elif name:
            self.show_json(objects[0])
        else:
            rows = [(o["kind"], o["name"], _format_fields(o)) for o in objects]
            self.show_table(("KIND", "NAME", "FIELDS"), rows)
            self.show(f"version {document['version']}")
        return EXIT_OK


class SubmitCommand(_BaseCommand):
    """Submits a job and, with ``--wait``, polls until the job ends."""

    name = "submit"
    description = "Submit a job of a service, batch or gang workload."
    arguments = (argument("workload", "Name of the workload."),)
    options = (
        option("key", None, "Idempotency key; one key creates one job.", flag=False),
        option("tasks", None, "Number of tasks (default: the workload's).", flag=False),
        option("run", None, "JSON object that the tasks receive, e.g. {}.", flag=False),
        option("wait", None, "Seconds to wait for the job to end.", flag=False),
        *REMOTE_OPTIONS,
    )

    def handle(self):
        job = {"workload": self.argument("workload")}
        job["key"] = self.option("key") or uuid.uuid4().hex
        if self.option("tasks") is not None:
            job["tasks"] = parse_whole_number(self.option("tasks"), "--tasks")
        if self.option("run") is not None:
            job["run"] = parse_json_object(self.option("run"), "--run")
        wait = self.option("wait")
        wait_s = None if wait is None else parse_seconds(wait)
        operator = self.connect()
        try:
            record = operator.submit_job(job)
        except EntryError as exc:
            if exc.code == UNREACHABLE:
                # The job may exist; submitting with the same key cannot create another.
                exc.message += f" (job key {job['key']})"
            raise
        if wait_s is not None:
            record = _wait_for_end(operator, record["id"], wait_s)
        if self.option("json"):
            self.show_json(record)
        elif wait_s is None:
            outcome = "accepted" if record["created"] else "was accepted before"
            self.show(f"job {record['id']} {outcome}")
        else:
            self.show(_format_job(record))
        is_success = wait_s is None or record["state"] == "succeeded"
        return EXIT_OK if is_success else EXIT_REFUSED


class StatusCommand(_BaseCommand):
    """Shows a job, or the cluster as one entry currently sees it."""

    name = "status"
    description = "Show one job with its tasks, or the cluster as an entry sees it."
    arguments = (argument("job", "Id of a job.", optional=True),)
    options = REMOTE_OPTIONS

    def handle(self):
        job_id = self.argument("job")
        operator = self.connect()
        value = operator.get_job(job_id) if job_id else operator.get_status()
        if self.option("json"):
            self.show_json(value)
        elif job_id:
            self.show(_format_job(value))
            headers = ("TASK", "STATE", "WORKER", "ATTEMPT")
            tasks = value.get("tasks") or []
            rows = [[task.get(h.lower()) for h in headers] for task in tasks]
            if rows:
                self.show_table(headers, rows)
        else:
            self.show_table(("FIELD", "VALUE"), _flatten(value))
        return EXIT_OK


class CancelCommand(_BaseCommand):
    """Requests the cancellation of a job."""

    name = "cancel"
    description = "Cancel a job; its running tasks are stopped."
    arguments = (argument("job", "Id of a job."),)
    options = REMOTE_OPTIONS

    def handle(self):
        record = self.connect().cancel_job(self.argument("job"))
        if self.option("json"):
            self.show_json(record)
        else:
            self.show(f"cancellation of job {self.argument('job')} accepted")
        return EXIT_OK


class DumpCommand(_BaseCommand):
    """Prints the state dump of one process as JSON."""

    name = "dump"
    description = "Show the state of the entry or scheduler at --entry, as JSON."
    options = REMOTE_OPTIONS

    def handle(self):
        self.show_json(self.connect().get_state())
        return EXIT_OK


class ExplainCommand(_BaseCommand):
    """Prints the history of one job, read from log files or standard input."""

    name = "explain"
    description = "Print the history of a job from log files, or from standard input."
    arguments = [  # noqa: RUF012
        argument("id", "The job's id."),
        argument(
            "logs", "Log files of one or more processes.", optional=True, multiple=True
        ),
    ]

    def handle(self):
        lines = []
        for path in self.argument("logs"):
            with open(path, encoding="utf-8", errors="replace") as file:
                lines += file.readlines()
        if not self.argument("logs"):
            lines = sys.stdin.readlines()
        for text in explain(read_events(lines), self.argument("id")):
            self.io.write_line(to_printable(text), type=Type.RAW)
        return EXIT_OK


def _format_fields(obj):
    return " ".join(
        f"{name}={to_printable(value)}"
        for name, value in obj.items()
        if name not in ("kind", "name") and not isinstance(value, dict | list)
    )


def _format_job(record):
    parts = [f"job {record['id']} {record['state']}"]
    for field in ("workload", "reason", "verdict"):
        if record.get(field):
            parts.append(f"{field} {record[field]}")
    return to_printable(", ".join(parts))


def _flatten(value, prefix=""):
    rows = []
    for name, item in value.items():
        if isinstance(item, dict) and item:
            rows.extend(_flatten(item, f"{prefix}{name}."))
        else:
            rows.append((f"{prefix}{name}", item))
    return rows


def _wait_for_end(operator, job_id, wait_s):
    deadline = time.monotonic() + wait_s
    while True:
        record = operator.get_job(job_id)
        if record["state"] in FINAL_STATES or time.monotonic() >= deadline:
            return record
        time.sleep(WAIT_POLL_S)


def application():
    """Return the cleo application with all commands."""
    app = Application("cornelward", __version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for cls in (
        CheckCommand,
        ApplyCommand,
        GetCommand,
        SubmitCommand,
        StatusCommand,
        CancelCommand,
        DumpCommand,
        ExplainCommand,
    ):
        app.add(cls())
    return app


def _exit_code(exc):
    if isinstance(exc, UsageError | SettingsError | CleoError):
        return EXIT_USAGE
    return EXIT_CODE_BY_ERROR.get(exc.code, EXIT_REFUSED)


def main(argv=None):
    """Run the command and return its exit code, one of the ``EXIT_*`` constants.

    ``argv`` excludes the program name and defaults to the process arguments.
    """
    argv = sys.argv if argv is None else ["cornelward", *argv]
    try:
        return application().run(ArgvInput(argv))
    except (CornelwardError, CleoError) as exc:
        texts = getattr(exc, "problems", None) or [_format_error(exc)]
        for text in texts:
            print(f"cornelward: {to_printable(text)}", file=sys.stderr)
        return _exit_code(exc)


def _format_error(exc):
    verdict = getattr(exc, "verdict", None)
    text = getattr(exc, "message", None) or str(exc)
    return f"{text} [{verdict}]" if verdict else text


if __name__ == "__main__":
    raise SystemExit(main())
