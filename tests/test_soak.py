"""Short seeded runs of the fault soak; every seed that ever failed stays here."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from tools.soak import run_seed

# Load under faults; long enough for a takeover and a restart.
LOAD_S = 6.0


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(seed, tmp_path):
    failures, soak = run_seed(seed, tmp_path, LOAD_S)
    assert_that(failures, Equals([]), "\n".join(soak.events))
    assert_that(sum(job.is_accepted for job in soak.jobs), GreaterThan(0))
