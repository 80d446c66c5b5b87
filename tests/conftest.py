"""Settings that all tests share."""

import hypothesis

# Random histories are the same ones on every run, and no verdict hangs on time.
hypothesis.settings.register_profile(
    'checks',
    derandomize=True,
    deadline=None,
    database=None,
)
hypothesis.settings.load_profile('checks')
