"""What the feature same_bytes is made of: taps, deterministic runs, and the golden files."""
