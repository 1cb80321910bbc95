"""Small stand-ins for the systems around the query tier, for tests only."""
