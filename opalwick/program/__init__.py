"""Configuration and the running scheduler process."""
