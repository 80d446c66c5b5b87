"""The process of a VM: listeners, dispatch of requests, the directory."""
