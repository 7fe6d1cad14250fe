"""What schedulers know and do together: members, and on them owners, limits, verdicts (to come).

Cores are free of I/O and clocks: time and words go in, words, wakes and events come out. `agent.py` is the
one thing that a front feeds. Nothing of it is imported while it is off.
"""
