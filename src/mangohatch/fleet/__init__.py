"""One host of a fleet whose directory lies in a store."""
