"""An emulated fleet to load, break and judge schedulers with.

In goes a day (a TOML file: fleet, load, faults), out come a history and a report. `world/` holds workers,
list and clients, free of I/O and clock; `virtual.py` plays it with real reducers under a virtual clock,
`sockets/` in front of real `serve` processes. `judge.py` reads histories only and imports nothing of the
scheduler.
"""
