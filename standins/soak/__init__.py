"""A soak test: random faults against real processes, checked invariants."""
