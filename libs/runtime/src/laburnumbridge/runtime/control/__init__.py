"""Messages between processes, and the drivers that handle them."""
