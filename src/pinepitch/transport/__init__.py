"""Communication between processes: frames, HTTP, links and the forwarding of requests."""
