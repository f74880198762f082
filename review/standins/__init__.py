"""Stand-ins for clients, workers, the operator and the platform, and the start of the project's own programs on loopback."""
