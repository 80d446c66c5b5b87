"""Measurements, each a module with a `main` that takes arguments."""
