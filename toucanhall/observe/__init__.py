"""Log lines and metrics of a VM, and the commands that read log files."""
