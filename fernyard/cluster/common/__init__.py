"""Shared by both programs of the system: settings, messages, datagrams, errors, logs, the lease and the registry."""
