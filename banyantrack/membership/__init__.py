"""An entry's view of its configuration, the backends and other entries."""
