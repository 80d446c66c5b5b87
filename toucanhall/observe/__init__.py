"""What a VM tells about itself: log lines and metrics."""
