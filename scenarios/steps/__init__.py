"""Step definitions by library; the steps of a scenario share one world object per library."""
