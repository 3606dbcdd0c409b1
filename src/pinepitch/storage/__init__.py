"""The data folder of a control daemon: checked files and the lock on the folder."""
