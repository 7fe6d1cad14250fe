"""The command line, the configuration and the running scheduler."""
