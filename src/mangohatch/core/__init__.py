"""Decision core: tables, periodic systems and choice functions, without I/O."""
