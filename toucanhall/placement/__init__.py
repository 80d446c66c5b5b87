"""Decides which target serves a request, without sockets or a clock."""
