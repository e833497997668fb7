"""At-most-once execution of calls that carry an operation key.

An issued key is bound to the process that issued it.
"""
