"""Earlier module paths, kept for one version: `pinepitch.simulation` replaces this package."""
