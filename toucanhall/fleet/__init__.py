"""State of the fleet at a VM: configuration, targets and the other VMs."""
