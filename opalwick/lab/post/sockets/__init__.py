"""The same scenarios, clients, workers, operators and judge with real processes (`python -m opalwick.post
...`), each on a loopback address of its own.
"""
