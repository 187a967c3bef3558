"""Steps by library, each over one shared world."""
