"""Client of the platform: object API and host list."""
