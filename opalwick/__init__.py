"""A scheduler that runs beside each submitter and pushes work items to workers."""

__version__ = "0.2.0"
