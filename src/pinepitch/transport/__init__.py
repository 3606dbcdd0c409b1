"""What goes between processes, without I/O: frames, HTTP, links and the forwarding of requests."""
