"""Stand-ins and helpers of the scripts in ``review/6`` and later."""
