"""Builds the executable archive and the generated documentation pages."""
