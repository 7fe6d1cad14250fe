"""The controller: replicated configuration, directory of workers and nodes, leases of exclusive tasks."""
