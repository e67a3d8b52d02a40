"""Small stand-ins for the systems around cloverhook: the platform, backend servers and callers."""
