"""The laburnumbridge command."""
