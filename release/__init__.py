"""Builds what is handed out: the binary and the generated pages."""
