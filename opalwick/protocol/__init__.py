"""Formats: clients', workers', discovery's, peers' and the settings'; names and ids end here."""
