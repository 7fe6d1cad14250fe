"""The lab of the post: its three roles on a virtual clock, with machines, disks, links, clients and workers
around them, and a judge that reads only what those outside saw.

`day.py` says what is played, `world.py` puts it up, `faults.py` breaks it, `judge.py` judges. The roles are
those that the processes run (`opalwick/post/*/role.py`); what stands around them in a process is played by
`process.py`.
"""
