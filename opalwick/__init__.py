"""opalwick: a dispatcher beside each submitter that pushes work items to workers."""
