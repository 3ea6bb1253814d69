"""Stand-ins for the systems around an entry host, for tests, bench and demo."""
