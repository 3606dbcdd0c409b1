"""Crowds of clients that do not behave, played against the platform's programs as real processes."""
