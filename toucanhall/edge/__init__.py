"""The process of a VM: listeners, the path of a request, the directory."""
