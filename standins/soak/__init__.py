"""Random faults against real programs, and the promises that must hold."""
