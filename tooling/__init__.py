"""Tools for building and documenting the project."""
