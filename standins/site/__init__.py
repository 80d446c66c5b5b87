"""Stand-ins for the users' platform: store, targets, callers, a deployment."""
