"""Stand-ins for the external systems of the daemons, for the demo and for tests."""
