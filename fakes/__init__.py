"""Fakes of the systems that the router talks to, called stand-ins.

Those with a ``main`` function run as processes of their own, for example in the
demonstration; the others run inside a test.
"""
