"""What a VM knows of the fleet: configuration, targets and other VMs."""
