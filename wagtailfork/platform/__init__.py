"""The adapter to the users' platform; holds only names, formats and calls."""
