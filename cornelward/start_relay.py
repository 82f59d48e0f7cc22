"""Core: which starts of tasks the leader hands to the node that accepted their job.

Each start order carries the job's payload. For a wide job the leader would send it once
a task over its own link, and hold one exchange a task. The node that accepted the job
has the payload, so that the leader only has to name the tasks and workers.
"""

import collections

import xxhash

__all__ = ["Payloads", "digest_of", "is_worth_relaying"]

# A start through another node takes one hop more; it pays from this many bytes of
# payload that the leader need not send.
RELAYED_BYTES = 4_096
# Limit on the payloads that a node keeps, and what each takes besides its bytes.
MAX_PAYLOAD_BYTES = 2_000_000
ENTRY_BYTES = 200


def is_worth_relaying(tasks, payload_bytes):
    """Return whether another node should carry out the starts of ``tasks`` tasks."""
    return tasks > 1 and tasks * payload_bytes >= RELAYED_BYTES


def digest_of(payload):
    """Return the digest by which a node knows that its payload is the stored one."""
    return xxhash.xxh64_intdigest(payload.encode())


class Payloads:
    """The payloads of the jobs that this node accepted last, by job id."""

    def __init__(self, max_bytes=MAX_PAYLOAD_BYTES):
        self._by_job = collections.OrderedDict()
        self._max_bytes = max_bytes
        self._bytes = 0

    def add(self, job_id, payload):
        """Keep a payload; the oldest ones are dropped beyond the limit."""
        self._drop(job_id)
        self._by_job[job_id] = payload
        self._bytes += _size_of(payload)
        while self._bytes > self._max_bytes:
            self._drop(next(iter(self._by_job)))

    def get(self, job_id):
        """Return the job's payload, or None if it is not kept here."""
        return self._by_job.get(job_id)

    def _drop(self, job_id):
        payload = self._by_job.pop(job_id, None)
        if payload is not None:
            self._bytes -= _size_of(payload)


def _size_of(payload):
    """Return the bytes that an entry takes."""
    return len(payload.encode()) + ENTRY_BYTES
