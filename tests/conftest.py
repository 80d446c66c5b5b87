"""Settings of Hypothesis for all tests."""

import hypothesis

# Examples are the same on every run, and none fails for being slow.
hypothesis.settings.register_profile(
    'checks',
    derandomize=True,
    deadline=None,
    database=None,
)
hypothesis.settings.load_profile('checks')
