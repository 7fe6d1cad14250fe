"""Many schedulers, faults between them, and a judge of what the fleet promises.

In goes a fleet's day (a TOML file: members, groups, load, faults between them), out come the history of work
items that every day gives, and a second one: what passed between members, what each believed and did, what
was true. `virtual.py` plays it on the virtual clock, `sockets.py` with a process a member. `judge.py` reads
histories alone and shares no code with what it judges. `agents.py` runs stand-in members on both clocks.
"""
