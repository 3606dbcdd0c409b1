"""Jobs whose tasks run under a hold: the part of the record that minions pull by their beats."""
