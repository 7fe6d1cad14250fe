"""Simulation of many schedulers with fault injection between them, and a judge of the fleet's invariants.

Input is a fleet's scenario (a TOML file: members, groups, load, faults). Output is the history of work
items that every scenario gives, and a second one: messages between members, what each believed and did, and
the ground truth. `virtual.py` plays it on the virtual clock, `sockets.py` with a process per member.
`judge.py` reads histories alone and shares no code with what it judges. `agents.py` runs stand-in members
on both clocks.
"""
