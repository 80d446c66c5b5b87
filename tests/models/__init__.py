"""Tests: models."""
