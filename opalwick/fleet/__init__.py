"""Coordination between schedulers: membership; owners, limits and shared outcomes are to build on it.

The modules do no I/O and read no clock: times and messages go in, messages, timers and events come out.
`agent.py` is the interface for front ends. The package is not imported while membership is off.
"""
