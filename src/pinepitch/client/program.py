"""pinepitch: the operators' command line."""

import fire


def main():
    from .commands import Commands

    fire.Fire(Commands, name="pinepitch")
