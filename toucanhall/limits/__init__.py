"""Limits of the whole fleet, kept by each VM in its part."""
