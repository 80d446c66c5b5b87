"""Benchmarks; each module has a `main` that takes command-line arguments."""
