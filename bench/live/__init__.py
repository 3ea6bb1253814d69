"""The live path: entry processes and stand-in upstreams over loopback."""
