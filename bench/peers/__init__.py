"""Cost of membership and links, with one process a host."""
