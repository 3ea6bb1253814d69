"""Orders through real entry host processes."""
