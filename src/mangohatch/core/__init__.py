"""Decision core: tables, systems run each tick and choice functions; no I/O."""
