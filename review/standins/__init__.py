"""Stand-ins of the platform, its backends and its clients."""
