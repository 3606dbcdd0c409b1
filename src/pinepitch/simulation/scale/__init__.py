"""Scale runs: real daemons beside hollow workers and callers that share one process.

One thing is varied at a time, so that every slope has its own cause. A hollow worker is a stand-in
that sends heartbeats over a link to a control daemon, in the frames by which daemons carry calls.
Its figures hold for the frames; the platform's HTTP ports cost more on top, which `costs` measures
alone.
"""
