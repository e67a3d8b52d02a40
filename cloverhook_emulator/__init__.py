"""Small stand-ins for what stands around cloverhook: the platform, backend servers and callers."""
