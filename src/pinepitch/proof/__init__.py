"""Earlier module paths, still supported for one version: `pinepitch.simulation` replaces this package."""
