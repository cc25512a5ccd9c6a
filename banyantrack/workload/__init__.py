"""Scheduling of jobs, made of steps and tasks, on workers that serve calls."""
