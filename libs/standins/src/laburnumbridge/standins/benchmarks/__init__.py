"""Benchmarks behind ``laburnumbridge bench``; each runs on this machine against its own baseline."""
