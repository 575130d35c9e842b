"""Stand-ins for platform services and backend servers."""
