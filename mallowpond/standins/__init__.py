"""Stand-ins for the platform and the engines, for tests and trials."""
