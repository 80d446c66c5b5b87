"""Stand-ins for the platform: store, targets, and a deployment with VMs."""
