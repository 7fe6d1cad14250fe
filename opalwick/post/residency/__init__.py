"""Data residency: which country a partner's messages must not leave ("home"), and the checks that
enforce it.
"""
