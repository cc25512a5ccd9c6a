"""The control daemon and the entry daemon."""
