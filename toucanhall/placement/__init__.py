"""Decides which target serves a request; knows no sockets and no clock."""
