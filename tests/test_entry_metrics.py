"""Guards the metrics with which operators find out why requests wait."""

import pytest
from fixtures_entry import OBJECTS, Cluster
from testtools.assertions import assert_that
from testtools.matchers import Contains


@pytest.fixture
def metrics_text():
    """Return the metrics text of an entry that has served one request."""
    cluster = Cluster()
    cluster.add_executor()
    entry = cluster.add_entry()
    cluster.configure(entry, OBJECTS)
    address = entry.identity.http_address

    def request_succeeded():
        path = "/v1/services/quotes/price"
        return cluster.call(address, "POST", path, b"1").status == 200

    cluster.until(request_succeeded)
    yield cluster.call(address, "GET", "/metrics").body.decode()
    cluster.close()


@pytest.mark.parametrize(
    "line",
    [
        'cornelward_wait_seconds_count{service="quotes"} 1.0',
        'cornelward_queue_length{class="short",service="quotes"} 0.0',
        'cornelward_slots_in_use{use="running"} 0.0',
        "cornelward_retries_total 0.0",
        "cornelward_view_epoch 1.0",
    ],
)
def test_metrics_report_waits_queues_slots_and_retries(metrics_text, line):
    assert_that(metrics_text, Contains(line))
