"""What an entry knows: configuration, backends, other entries."""
