"""A store ("depot" on the wire): keeps messages on its disk and assigns each of them to a gateway that
delivers it.
"""
