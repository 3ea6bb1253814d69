"""Stand-ins for the systems around an entry host, for tests, benches and the demo."""
