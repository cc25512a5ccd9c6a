"""Small parts that every package uses."""
