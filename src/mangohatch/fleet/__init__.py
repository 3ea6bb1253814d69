"""A host of a fleet that shares a directory in an external store."""
