"""Modules that every package may import: constants, numbered events, limits, metrics, checked settings."""
