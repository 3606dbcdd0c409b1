"""Trials of what a loss of power leaves of single files: the real store on simulated folders."""
