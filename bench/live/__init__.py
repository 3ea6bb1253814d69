"""Live benchmark: entry host processes and stand-in upstreams over loopback."""
