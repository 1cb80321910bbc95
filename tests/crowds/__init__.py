"""Process tests against crowds of clients that send or take only a part."""
