"""Jobs of steps of tasks on workers that are called."""
