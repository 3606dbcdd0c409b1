"""What every part stands on: constants, numbered events, limits, metrics, checked settings."""
