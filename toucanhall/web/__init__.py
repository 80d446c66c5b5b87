"""HTTP/1.1 connections on an event loop, parsed by httptools."""
