"""Benchmarks behind ``laburnumbridge bench``, each with a baseline from the same run."""
