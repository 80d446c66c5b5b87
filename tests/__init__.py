"""Tests of toucanhall."""
