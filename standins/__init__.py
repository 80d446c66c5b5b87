"""Stand-ins for the outside systems, and a fleet of processes to try."""
