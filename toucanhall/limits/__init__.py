"""Limits of the whole fleet, of which each VM enforces its share."""
